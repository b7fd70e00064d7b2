// Package bwfleet keeps the state of the change tickets and the list of fleet
// members up to date in a process.
package bwfleet
