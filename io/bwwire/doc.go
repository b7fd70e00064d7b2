// Package bwwire defines the messages between the system's processes and their conversion to core types.
package bwwire
