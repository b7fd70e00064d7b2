// Package bwcaller is an HTTP client of the routers for benchmarks and tests. It
// streams generations, reconnects after a broken connection, and runs actions and
// lookups.
package bwcaller
