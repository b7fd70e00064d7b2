// Package bwadmit queues the requests of a service and decides which one starts
// next and which are refused.
package bwadmit
