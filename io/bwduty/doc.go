// Package bwduty runs control duties, each on the one process that holds the
// duty's lease in the table. The placement of models on engines is such a duty.
package bwduty
