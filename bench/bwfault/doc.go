// Package bwfault injects random faults into a system under test and collects
// the violations that the checks of its guarantees find.
package bwfault
