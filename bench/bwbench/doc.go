// Package bwbench runs the named experiments and reports their measurements.
package bwbench
