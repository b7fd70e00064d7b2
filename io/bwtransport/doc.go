// Package bwtransport checks the responses of HTTP servers that may be faulty: that their
// status and the names of their fields are valid.
//
// Transport applies all checks to the responses of an http.Transport. Programs that read
// responses themselves call CheckStatus and CheckFieldNames, also for the heads of
// informational responses and for trailers.
package bwtransport
