// Package bwaction decides how a non-idempotent action is reserved, dispatched and settled.
package bwaction
