// Package bwdev runs a complete fleet with stand-ins in one process on loopback.
package bwdev
