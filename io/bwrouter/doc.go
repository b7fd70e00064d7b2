// Package bwrouter implements the router process.
package bwrouter
