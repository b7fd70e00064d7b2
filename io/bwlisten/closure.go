package bwlisten

import (
	"log/slog"
	"net/netip"
	"sync"
	"time"
)

// closureLogInterval is the time between two log lines on connections that were closed for
// the same reason at the same address.
const closureLogInterval = time.Second

// ClosureLog counts the connections that were closed or refused to stay within a limit,
// and logs the first one and one a second for each address and reason. It is safe for
// concurrent use.
type ClosureLog struct {
	cfg ClosureLogConfig

	mu       sync.Mutex
	closures map[closureKey]*closureCount
}

// ClosureLogConfig configures a ClosureLog.
type ClosureLogConfig struct {
	// Count counts a connection by the name of its listener and the reason.
	Count func(listener string, reason Reason)
	Log   *slog.Logger
}

type closureKey struct {
	listener string
	reason   Reason
}

type closureCount struct {
	loggedAt time.Time
	// unlogged counts the connections since then.
	unlogged int
}

// NewClosureLog returns an empty ClosureLog.
func NewClosureLog(cfg ClosureLogConfig) *ClosureLog {
	return &ClosureLog{cfg: cfg, closures: make(map[closureKey]*closureCount)}
}

// OnClose returns the function for Config.OnClose of a listener.
func (cll *ClosureLog) OnClose(listener string) func(Reason, netip.AddrPort) {
	return func(reason Reason, remote netip.AddrPort) { cll.record(closureKey{listener, reason}, remote) }
}

func (cll *ClosureLog) record(key closureKey, remote netip.AddrPort) {
	cll.cfg.Count(key.listener, key.reason)
	cll.mu.Lock()
	defer cll.mu.Unlock()
	cnt := cll.closures[key]
	if cnt == nil {
		cnt = new(closureCount)
		cll.closures[key] = cnt
	}
	cnt.unlogged++
	now := time.Now()
	if now.Sub(cnt.loggedAt) < closureLogInterval {
		return
	}
	cll.cfg.Log.Warn("connections closed", "Address", key.listener, "Reason", key.reason, "Remote", remote, "Count", cnt.unlogged)
	cnt.loggedAt, cnt.unlogged = now, 0
}
