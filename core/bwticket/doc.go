// Package bwticket validates change tickets, accepts them into the history and applies them to an immutable state.
package bwticket
