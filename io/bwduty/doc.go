// Package bwduty runs control duties under a lease in the table, and places models on engines as one of them.
package bwduty
