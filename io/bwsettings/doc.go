// Package bwsettings reads the settings of a router and of an agent from JSON
// and reports every fault of a file in one run.
//
// The decoder is strict: a field that the Go type does not have, a field that
// occurs twice and a value of the wrong type are faults. It reads the tags
// default, required, oneof, min and max of a struct's fields.
package bwsettings
