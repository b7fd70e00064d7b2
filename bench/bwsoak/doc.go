// Package bwsoak runs the whole system under random faults and checks that each
// answer, action and ticket keeps the guarantees.
package bwsoak
