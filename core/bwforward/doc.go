// Package bwforward decides where a gateway forwards callers' requests, which
// it does not modify: which route and team a request belongs to, which upstream
// runs it, which other upstream holds a copy of its KV cache, and which
// upstreams are avoided after failures.
//
// The control goroutine calls Pool.Update and builds routing tables. Traffic
// goroutines read the tables and call the other methods of a Pool without locks.
package bwforward
