// Package bwcapacity measures how the cost of each part grows and works out
// what a fleet of a given size needs.
package bwcapacity
