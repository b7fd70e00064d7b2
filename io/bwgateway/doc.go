// Package bwgateway forwards callers' requests unchanged to upstreams: plain
// requests, actions and event streams. It stores nothing that outlives the
// process.
package bwgateway
