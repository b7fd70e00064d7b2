// Package bwlisten bounds the connections of an HTTP server, and the memory of headers
// that net/http parses before a handler runs. It works below the server: a listener
// counts what arrives until a header is complete, and closes connections.
package bwlisten
