// Package bwlauncher holds the commands that run processes: router, agent, dev,
// bench and the stand-ins.
package bwlauncher
