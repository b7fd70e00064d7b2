// Package bwsettings reads the settings of routers and agents, and change
// tickets, from JSON and reports every fault of a document at once.
//
// The decoder is strict: unknown fields, duplicate fields and values of the
// wrong type are faults. It applies the tags default, required, oneof, min and
// max of struct fields.
package bwsettings
