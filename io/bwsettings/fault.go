package bwsettings

import (
	"fmt"
	"strings"
)

// Fault is one invalid or missing value of a document.
type Fault struct {
	// Path is the path of the field, such as "Upstreams[2].Agent"; empty means the
	// whole document.
	Path string
	// Line is the line of the value, counted from 1; 0 means that it is missing or unknown.
	Line int `json:",omitempty"`
	// Message describes the fault.
	Message string
	// Accepted lists the accepted values or fields, when they are known.
	Accepted []string `json:",omitempty"`
}

// String returns the path, the line, the message and the accepted values.
func (ft Fault) String() string {
	var txt strings.Builder
	if ft.Path != "" {
		txt.WriteString(ft.Path + ": ")
	}
	txt.WriteString(ft.Message)
	if len(ft.Accepted) > 0 {
		txt.WriteString("; accepted: " + strings.Join(ft.Accepted, ", "))
	}
	if ft.Line > 0 {
		fmt.Fprintf(&txt, " (line %d)", ft.Line)
	}
	return txt.String()
}

// Error holds every fault of a document.
type Error struct{ Faults []Fault }

// Error returns the faults, one per line.
func (err *Error) Error() string {
	lines := make([]string, 0, len(err.Faults))
	for _, ft := range err.Faults {
		lines = append(lines, ft.String())
	}
	return strings.Join(lines, "\n")
}

// FaultList collects the faults of one document.
type FaultList struct{ faults []Fault }

// Add records a fault without a line number.
func (flt *FaultList) Add(path, message string, accepted ...string) {
	flt.faults = append(flt.faults, Fault{Path: path, Message: message, Accepted: accepted})
}

// Err returns an *Error with the faults, or nil when there are none.
func (flt *FaultList) Err() error {
	if len(flt.faults) == 0 {
		return nil
	}
	return &Error{Faults: flt.faults}
}

func (flt *FaultList) addAt(path string, line int, message string, accepted ...string) {
	flt.faults = append(flt.faults, Fault{Path: path, Line: line, Message: message, Accepted: accepted})
}
