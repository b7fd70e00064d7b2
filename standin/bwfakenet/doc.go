// Package bwfakenet is a network between named members whose ways can be held
// for a time or cut, each direction on its own.
package bwfakenet
