// Package bwobserve sets up the log and declares every metric of the system.
package bwobserve
