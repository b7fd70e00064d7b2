// Package bwforward decides where requests of callers go that the system passes
// on as they are: which route and team a request belongs to, which upstream
// runs it, which other upstream keeps a copy of its memory, and what follows
// when an upstream fails.
//
// The control goroutine calls Pool.Update and builds tables; traffic goroutines
// read tables and call the other methods of a Pool, without locks.
package bwforward
