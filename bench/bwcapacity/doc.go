// Package bwcapacity measures how the cost of each mechanism grows with its size
// and estimates the costs of a fleet of a given size.
package bwcapacity
