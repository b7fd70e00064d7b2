// Package bwmodel defines the identifiers, values and configuration objects that
// all modules share.
package bwmodel
