// Package bwsoak runs a whole fleet under random faults and checks the guarantees
// on every response, action and ticket.
package bwsoak
