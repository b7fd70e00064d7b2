// Package bwspread decides how the gateways of a fleet share what they read of a
// store: when each of them reads, and which gateways a datagram is sent to. No
// gateway has a role that must be elected or that others depend on.
package bwspread
