// Package bwsoak runs a complete fleet under random faults and checks the guarantees
// on every response, action and ticket.
package bwsoak
