// Package bwdev runs a whole fleet with embedded stand-ins on loopback.
package bwdev
