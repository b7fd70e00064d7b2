// Package bwaccount decides which connections a listener keeps when their number or the
// memory of their headers reaches its limit.
package bwaccount
