// Package bwmember tracks which members of the fleet are live, suspect or
// leaving, and selects the peers, monitors and duty candidates among them.
package bwmember
