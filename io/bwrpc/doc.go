// Package bwrpc carries typed calls between the system's processes over drpc.
package bwrpc
