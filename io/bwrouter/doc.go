// Package bwrouter runs the router process.
package bwrouter
