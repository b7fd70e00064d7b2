package bwgateway

import (
	"context"
	"time"

	"bilberrywick/core/bwforward"
)

// copyOrder asks an engine to copy a run's memory to another one.
type copyOrder struct {
	stream *stream
	source *bwforward.Node
	target *bwforward.Node
	// done gets the copy's name, or nothing when there is no copy.
	done chan string
}

const (
	// copyTime bounds an order; a prompt of today's size is copied in about 10 ms,
	// and twice that between zones.
	copyTime = 500 * time.Millisecond
	// copyInterval renews an ordered copy, which engines keep for 4 s on today's
	// deployments.
	copyInterval = 2500 * time.Millisecond
	// copyRetry is left between orders of which none gave a copy.
	copyRetry = 500 * time.Millisecond
)

func (ord *copyOrder) run(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, copyTime)
	defer cancel()
	gw := ord.stream.gw
	name, err := gw.cfg.CopyKVCache(ctx, ord.source.Address, ord.target.Address, ord.stream.ask.RequestID)
	if err != nil && ctx.Err() == nil {
		gw.cfg.Log.Warn("copy not made", "Request", ord.stream.ask.RequestID, "Source", ord.source.ID, "Target", ord.target.ID, "Error", err)
	}
	ord.done <- name
}

// keepCopy replaces the copy of a run whose engine is gone, and renews one that
// was ordered. The copy that engines make from the start of a run ends with the
// engine that keeps it.
func (run *streamRun) keepCopy(now time.Time) {
	if run.copying != nil {
		select {
		case name := <-run.copying.done:
			run.takeCopy(name)
		default:
		}
		return
	}
	if run.backup == nil || run.gw.cfg.CopyKVCache == nil {
		return
	}
	pause := copyRetry
	if run.handle != "" {
		pause = copyInterval
	}
	lost := !run.gw.cfg.Pool.AcceptsWork(run.backup) || run.backup.HadFailureSince(run.copiedAt)
	if !lost && run.handle == "" || now.Sub(run.ordered) < pause {
		return
	}
	target := run.backup
	if lost {
		target = run.chooseCopy(run.node, run.backup.ID)
	}
	if target == nil {
		return
	}
	run.ordered = now
	run.copying = &copyOrder{stream: run.stream, source: run.node, target: target, done: make(chan string, 1)}
	go run.copying.run(run.ctx)
}

func (run *streamRun) takeCopy(name string) {
	target := run.copying.target
	run.copying = nil
	if name == "" {
		return
	}
	if target != run.backup {
		run.gw.cfg.Log.Info("copy made", "Request", run.ask.RequestID, "Source", run.node.ID, "Target", target.ID, "Event", run.last)
	}
	run.backup, run.handle, run.copiedAt = target, name, run.ordered
	run.copied.End()
	run.placeCopy()
}

// placeCopy counts the memory of the copy at its engine.
func (run *streamRun) placeCopy() {
	if run.backup != nil {
		run.copied = run.backup.PlaceCopy(run.work())
	}
}

// endCopy frees an ordered copy that is not used. The engine is told by a
// goroutine of its own, since the caller has its answer.
func (run *streamRun) endCopy() {
	run.copied.End()
	if run.handle == "" || run.copyHandle == run.handle || run.gw.cfg.DropCopy == nil {
		return
	}
	drp := &copyDrop{stream: run.stream, name: run.handle}
	go drp.run()
}

// copyDrop frees a copy.
type copyDrop struct {
	stream *stream
	name   string
}

func (drp *copyDrop) run() {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(drp.stream.ctx), copyTime)
	defer cancel()
	if err := drp.stream.gw.cfg.DropCopy(ctx, drp.name); err != nil {
		drp.stream.gw.cfg.Log.Warn("copy not freed; it ends by its time", "Request", drp.stream.ask.RequestID, "Copy", drp.name, "Error", err)
	}
}
