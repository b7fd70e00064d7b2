// Package bwobserve sets up logs and metrics.
package bwobserve
