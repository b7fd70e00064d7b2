// Package bwobserve provides the structured log, the metrics of all processes,
// and the analysis of a request's log lines.
package bwobserve
