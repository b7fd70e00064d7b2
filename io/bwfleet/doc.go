// Package bwfleet keeps a process current with the change tickets and the members of the fleet.
package bwfleet
