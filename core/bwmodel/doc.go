// Package bwmodel defines the identifiers, values and objects that all modules share.
package bwmodel
