package bwfault

import (
	"errors"
	"fmt"
	"net"
	"net/netip"
	"os"
	"sync/atomic"
)

const (
	firstPort = 15000
	portCount = 15000
	// portStride separates the ports of concurrent processes.
	portStride = 997
)

// portCounter is the number of ports that this process has tried.
var portCounter atomic.Uint32

// ErrNoFreePort means that all ports are in use.
var ErrNoFreePort = errors.New("no port is free")

// FreePort returns a loopback address with an unused port. The port is outside the
// ephemeral range, from which the system could assign it to another socket before a
// process listens on it.
func FreePort() (netip.AddrPort, error) {
	for range portCount {
		port := firstPort + (portCounter.Add(1)+uint32(os.Getpid())*portStride)%portCount
		lis, err := net.Listen("tcp4", fmt.Sprintf("127.0.0.1:%d", port))
		if err != nil {
			continue
		}
		_ = lis.Close()
		return lis.Addr().(*net.TCPAddr).AddrPort(), nil
	}
	return netip.AddrPort{}, ErrNoFreePort
}
