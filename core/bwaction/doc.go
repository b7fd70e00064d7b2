// Package bwaction runs non-idempotent actions at most once: it reserves them in
// a table, dispatches them to agents and resolves unknown outcomes.
package bwaction
