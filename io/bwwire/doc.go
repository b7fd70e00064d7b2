// Package bwwire defines the messages between the system's processes and converts them to and from core types.
package bwwire
