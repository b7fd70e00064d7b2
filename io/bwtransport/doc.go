// Package bwtransport checks the responses of HTTP servers that may be faulty: that their
// status and the names of their fields are valid, and that they are complete.
//
// Transport applies all checks to the responses of an http.Transport. Programs that read
// responses themselves call CheckStatus and CheckFieldNames, also for the heads of
// informational responses and for trailers, and compare the end of a body without framing
// with the end of the request.
//
// A body without framing, which is one that has neither a length nor chunks, ends with its
// connection. A reset of the connection leaves one error, which the first call gets. If that
// call writes the request, the reader of the response sees an ordinary end. Such a body is
// therefore complete only if the request was written to its end without an error. A body
// with framing proves its end itself, and may come before the request has been written.
//
// TLS tells a connection that broke off from one that was closed, so only the second half of
// this is checked for it: that the request was written. Streams of HTTP/2 and compressed
// bodies have framing of their own.
//
// The checks say nothing of what a response means. Whether it is that of the server that was
// asked, and to this request, is decided by bwforward.ResponseClaims.
package bwtransport
