package main

import (
	"fmt"
	"syscall"
	"time"
)

// playTruncated lets an engine crash in the middle of an answer without framing while the
// gateway's machine is frozen, and come back before it wakes.
func playTruncated(inst *installation) error {
	const (
		events     = 140
		keyOne     = "n2ctnfzs989anu6wsjnb"
		downTime   = 1200 * time.Millisecond
		freezeFor  = 2400 * time.Millisecond
		crashAfter = 200 * time.Millisecond
	)
	args := []string{"-model", "-unframed", "-events", fmt.Sprint(events), "-step", "30ms"}
	inst.store.put("op", "config", manifest(manifestOptions{version: 7, keys: []string{keyOne}}))
	engines := make(map[string]*engineProcess)
	for ix := range engineCount {
		id := fmt.Sprintf("i-%d", ix+1)
		eng, err := inst.addEngine(id, "huvo11a", "", args...)
		if err != nil {
			return err
		}
		engines[id] = eng
	}
	gwp, err := inst.startGateway()
	if err != nil {
		return err
	}
	time.Sleep(4 * time.Second)
	done := make(chan result, 1)
	go func() {
		done <- inst.send(gwp, "POST", "/lohu930/2f", "9c41d07be2a35f68", keyOne, 25*time.Second, "prompt", "X-Model", "m", "X-Token-Usage", "1460,1120", "X-Prefix-Hash", "5c1e07a2:200,e4402b7d:1260")
	}()
	time.Sleep(1500 * time.Millisecond)
	if inst.trouble {
		var eng *engineProcess
		for _, rec := range inst.runs() {
			if rec.What == "begins" {
				eng = engines[rec.Engine]
			}
		}
		if eng == nil {
			return fmt.Errorf("no engine runs the stream")
		}
		_ = gwp.cmd.Process.Signal(syscall.SIGSTOP)
		inst.logf("machine of the gateway frozen")
		time.Sleep(crashAfter)
		_ = eng.cmd.Process.Kill()
		eng.lapse()
		inst.logf("engine %s crashed", eng.id)
		time.Sleep(downTime)
		if _, err := inst.addEngine(eng.id+".1", "huvo11a", eng.addr, args...); err != nil {
			return err
		}
		time.Sleep(freezeFor - downTime - crashAfter)
		_ = gwp.cmd.Process.Signal(syscall.SIGCONT)
		inst.logf("machine of the gateway woke")
	}
	res := <-done
	if res.status == 200 && res.complete && res.events != events {
		return errBroken{fmt.Sprintf("a consumer got %d of %d events with status 200, and the answer ended as a complete one", res.events, events)}
	}
	if !inst.trouble && !(res.status == 200 && res.complete && res.events == events) {
		return fmt.Errorf("not served without trouble: status %d, %d events", res.status, res.events)
	}
	return nil
}
