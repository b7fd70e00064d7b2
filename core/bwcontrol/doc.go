// Package bwcontrol runs the one goroutine that owns a process's control state.
package bwcontrol
