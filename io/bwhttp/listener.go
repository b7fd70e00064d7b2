package bwhttp

import (
	"net"

	"bilberrywick/io/bwlisten"
)

const (
	// descriptorShare is the part of the process's free descriptors that one listener's
	// connections may take. A router has three listeners, and connections to upstreams.
	descriptorShare = 0.25
	// headerShare is the memory for headers, as a part of Limits.BodyMemoryBytes.
	headerShare = 0.25
	// minHeaderBytes fits a few headers of the largest size that settings allow.
	minHeaderBytes = 4 << 20
)

// newListener returns a listener that closes old connections above the limits.
func newListener(lis net.Listener, cfg ServerConfig) *bwlisten.Listener {
	protocol := bwlisten.PlainHTTP
	if cfg.TLS != nil {
		protocol = bwlisten.EncryptedHTTP
	}
	return bwlisten.New(lis, bwlisten.Config{
		Protocol:    protocol,
		Connections: min(cfg.Limits.Connections, bwlisten.ConnectionsOf(descriptorShare)),
		HeaderBytes: max(int64(float64(cfg.Limits.BodyMemoryBytes)*headerShare), minHeaderBytes),
		OnClose:     cfg.OnClose,
	})
}
