// Package bwcaller is a caller of the system: it streams generations, reconnects
// after a broken connection, runs actions and lookups, and reports what it received.
package bwcaller
