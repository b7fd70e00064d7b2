package bwlisten

import (
	"syscall"
)

const (
	// reservedDescriptors is for files, the store, other processes and a status address.
	reservedDescriptors = 200
	// fewestConnections is accepted even if the descriptors hardly suffice.
	fewestConnections = 16
)

// ConnectionsOf returns the number of connections of a listener that may have a share of
// the process's descriptors, after a reserve for other uses.
func ConnectionsOf(share float64) int {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		// The call fails only for an invalid argument.
		return fewestConnections
	}
	// A limit of descriptors may be infinite.
	const most = 1 << 20
	free := int(min(limit.Cur, most)) - reservedDescriptors
	return max(int(float64(free)*share), fewestConnections)
}
