package bwgateway

import (
	"context"
	"time"

	"bilberrywick/core/bwforward"
)

// copyRequest is a call to an engine to copy a request's KV cache to another
// engine.
type copyRequest struct {
	stream *stream
	source *bwforward.Node
	target *bwforward.Node
	// result receives the copy's name, or an empty string if the copy failed.
	result chan string
}

const (
	// copyTimeout bounds one copy request. A prompt of the usual size is copied in
	// about 10 ms within a zone and 20 ms between zones.
	copyTimeout = 500 * time.Millisecond
	// copyRenewInterval is the age at which a requested copy is renewed. Engines of
	// current deployments keep a copy for 4 s.
	copyRenewInterval = 2500 * time.Millisecond
	// copyRetryInterval is the pause after a failed copy request.
	copyRetryInterval = 500 * time.Millisecond
	// copySearchInterval is the pause between two searches for a better engine for the
	// copy, each of which compares all engines of the service.
	copySearchInterval = time.Second
)

func (crq *copyRequest) run(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, copyTimeout)
	defer cancel()
	gw := crq.stream.gw
	name, err := gw.cfg.CopyKVCache(ctx, crq.source.Address, crq.target.Address, crq.stream.info.RequestID)
	if err != nil && ctx.Err() == nil {
		gw.cfg.Log.Warn("KV cache copy failed", "Request", crq.stream.info.RequestID, "Source", crq.source.ID, "Target", crq.target.ID, "Error", err)
	}
	crq.result <- name
}

// maintainCopy replaces the copy if its engine has failed or left or a better one is
// known, and renews a copy that was requested later. The copy that an engine makes from
// the start of a generation needs no renewal and lasts as long as the engine that holds it.
func (sat *streamAttempt) maintainCopy(now time.Time) {
	if sat.pendingCopy != nil {
		select {
		case name := <-sat.pendingCopy.result:
			sat.recordCopy(name)
		default:
		}
		return
	}
	// The call would be one more request to an engine in need.
	if sat.gw.cfg.CopyKVCache == nil || sat.node.InNeed(now) {
		return
	}
	target := sat.nextCopyTarget(now)
	if target == nil {
		return
	}
	sat.copyRequestedAt = now
	sat.pendingCopy = &copyRequest{stream: sat.stream, source: sat.node, target: target, result: make(chan string, 1)}
	go sat.pendingCopy.run(sat.ctx)
}

// nextCopyTarget returns the engine to which a copy is requested now, or nil. Engines that
// were not known when the stream began may hold the copy of one that has none, or none in
// another zone.
func (sat *streamAttempt) nextCopyTarget(now time.Time) *bwforward.Node {
	pause := copyRetryInterval
	if sat.copyName != "" {
		pause = copyRenewInterval
	}
	if now.Sub(sat.copyRequestedAt) < pause {
		return nil
	}
	if sat.backup != nil && (!sat.gw.cfg.Pool.AcceptsWorkOf(sat.backup, sat.copyWork()) || sat.backup.HadFailureSince(sat.copyValidSince)) {
		return sat.chooseBackup(sat.node, sat.backup.ID)
	}
	if (sat.backup == nil || sat.backup.Zone == sat.node.Zone) && now.Sub(sat.copySearchedAt) >= copySearchInterval {
		sat.copySearchedAt = now
		if target := sat.chooseBackup(sat.node); target != nil && (sat.backup == nil || target.Zone != sat.node.Zone) {
			return target
		}
	}
	if sat.copyName == "" {
		return nil
	}
	return sat.backup
}

func (sat *streamAttempt) recordCopy(name string) {
	target := sat.pendingCopy.target
	sat.pendingCopy = nil
	if name == "" {
		return
	}
	if target != sat.backup {
		sat.gw.cfg.Log.Info("KV cache copied", "Request", sat.info.RequestID, "Source", sat.node.ID, "Target", target.ID, "Event", sat.lastEventID)
	}
	sat.backup, sat.copyName, sat.copyValidSince = target, name, sat.copyRequestedAt
	sat.copyPlacement.End()
	sat.reserveCopy()
}

// reserveCopy accounts for the copy's memory at the backup engine.
func (sat *streamAttempt) reserveCopy() {
	if sat.backup != nil {
		sat.copyPlacement = sat.backup.PlaceCopy(sat.work())
	}
}

// releaseCopy frees a requested copy that the next attempt doesn't use. A
// separate goroutine sends the call, so that the caller's response doesn't
// wait for it.
func (sat *streamAttempt) releaseCopy() {
	sat.copyPlacement.End()
	if sat.copyName == "" || sat.resumeCopyName == sat.copyName || sat.gw.cfg.DropCopy == nil {
		return
	}
	drp := &copyDrop{stream: sat.stream, name: sat.copyName}
	go drp.run()
}

// copyDrop is a call that frees a copy.
type copyDrop struct {
	stream *stream
	name   string
}

func (drp *copyDrop) run() {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(drp.stream.ctx), copyTimeout)
	defer cancel()
	if err := drp.stream.gw.cfg.DropCopy(ctx, drp.name); err != nil {
		drp.stream.gw.cfg.Log.Warn("KV cache copy not freed; it expires on its own", "Request", drp.stream.info.RequestID, "Copy", drp.name, "Error", err)
	}
}
