// Package bwtransport checks the responses of HTTP servers that may be faulty: that their
// status is valid.
//
// Transport applies the check to the responses of an http.Transport. Programs that read
// responses themselves call CheckStatus.
package bwtransport
