// Package bwfakenet is a TCP network between named members with fault injection:
// each direction between two members can be held or cut independently.
package bwfakenet
