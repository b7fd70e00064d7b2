// Package bwobserve provides the structured log, the metrics of routers and
// agents, and the analysis of a request's log lines.
package bwobserve
