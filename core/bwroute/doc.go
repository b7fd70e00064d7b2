// Package bwroute chooses the upstream for a request.
//
// The control goroutine of a router calls Update, Observe and Refresh; traffic
// goroutines call Choose, Wait and Finish concurrently, without locks.
package bwroute
