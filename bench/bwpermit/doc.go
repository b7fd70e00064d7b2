// Package bwpermit models fleets of gateways that share the limit of an upstream, with
// announcements that are read late and clocks that differ.
package bwpermit
