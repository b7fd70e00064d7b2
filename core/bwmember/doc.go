// Package bwmember decides which members of the fleet are live, leaving or suspect, and who talks to whom.
package bwmember
