// Package bwroute selects the upstream for each request.
//
// The control goroutine of a router calls Update, Observe and Refresh; traffic
// goroutines call Choose, ChooseWait and Finish concurrently, without locks.
package bwroute
