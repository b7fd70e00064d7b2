// Package bwgateway serves callers whose requests go to upstreams as they are:
// plain requests, actions and event streams. It holds no state that outlives
// the process.
package bwgateway
