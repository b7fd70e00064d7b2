// Package bwbench runs benchmark experiments against a fleet in this process
// and compares their measurements with goals.
package bwbench
