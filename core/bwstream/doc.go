// Package bwstream keeps the record of a generation and decides which tokens a caller receives.
package bwstream
