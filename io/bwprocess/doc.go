// Package bwprocess sets up what routers and agents have in common: identity, log, peer transport, store and fleet.
package bwprocess
