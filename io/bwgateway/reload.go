package bwgateway

import (
	"context"
	"runtime/debug"
	"time"

	"bilberrywick/io/bwlisten"
)

// reloader applies changed settings while the process runs.
type reloader struct {
	cfg     ProcessConfig
	gateway *Gateway
	callers *bwlisten.Listener
	current Settings
}

// reloadInterval is the interval of checks for settings that changed without a
// signal. Operators expect a change to take effect within seconds.
const reloadInterval = 5 * time.Second

func (rld *reloader) run(ctx context.Context) {
	if rld.cfg.ReloadSettings == nil {
		return
	}
	tick := time.NewTicker(reloadInterval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			rld.reload("interval")
		case <-rld.cfg.ReloadSignals:
			rld.reload("signal")
		case <-ctx.Done():
			return
		}
	}
}

// reload applies the settings that a running process can change, and logs a
// warning if others have changed too.
func (rld *reloader) reload(cause string) {
	sts, err := rld.cfg.ReloadSettings()
	if err != nil {
		rld.cfg.Log.Error("settings are invalid; keeping the current ones", "Cause", cause, "Error", err)
		return
	}
	if *sts == rld.current {
		if cause == "signal" {
			rld.cfg.Log.Info("settings reloaded", "Cause", cause, "Changed", false)
		}
		return
	}
	old := rld.current
	rld.current = *sts
	if sts.Store != old.Store && rld.cfg.OnStoreAddressChange != nil {
		rld.cfg.OnStoreAddressChange(sts.Store)
	}
	setMemoryLimit(sts.MemoryLimit)
	rld.gateway.SetBodyMemory(bodyMemoryBytes(sts.MemoryLimit))
	rld.gateway.SetHeaderMemory(upstreamHeaderBytes(sts.MemoryLimit))
	rld.callers.SetLimits(callerConnections(sts.MemoryLimit), callerHeaderBytes(sts.MemoryLimit))
	rld.cfg.Log.Info("settings reloaded", "Cause", cause, "Changed", true, "Store", sts.Store, "MemoryLimit", sts.MemoryLimit)
	if needsRestart(old, *sts) {
		rld.cfg.Log.Warn("some changed settings need a restart", "Callers", sts.Callers, "Status", sts.Status,
			"Zone", sts.Zone, "GraceTime", sts.GraceTime, "RetryShare", sts.RetryShare)
	}
}

// needsRestart reports whether settings differ that only a restart can apply.
func needsRestart(old, sts Settings) bool {
	old.Store, old.MemoryLimit = sts.Store, sts.MemoryLimit
	return old != sts
}

func setMemoryLimit(mebibytes float64) {
	debug.SetMemoryLimit(int64(mebibytes * heapShare * (1 << 20)))
}
