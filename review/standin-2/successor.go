package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// playSuccessor lets the store go down right after the operator has created a service, and
// an engine of another service crash for good. Its address goes to an engine of the new one.
func playSuccessor(inst *installation) error {
	const (
		key = "n2ctnfzs989anu6wsjnb"
		// reuseAfter is the time after which an address is used again.
		reuseAfter = 2 * time.Second
		downTime   = 7900 * time.Millisecond
		interval   = 50 * time.Millisecond
	)
	fwt := watchFeeds(inst.store)
	args := []string{"-model", "-events", "10", "-step", "20ms", "-prefill", "100ms"}
	inst.store.put("op", "config", manifest(manifestOptions{version: 7, keys: []string{key}}))
	var crashing *engineProcess
	for ix := range engineCount {
		eng, err := inst.addEngine(fmt.Sprintf("i-%d", ix+1), "huvo11a", "", args...)
		if err != nil {
			return err
		}
		crashing = eng
	}
	gwp, err := inst.startGateway()
	if err != nil {
		return err
	}
	time.Sleep(4 * time.Second)
	// The gateway has just read the manifest, and pauses before it reads it again.
	last := fwt.last("op")
	for giveUp := time.Now().Add(20 * time.Second); !fwt.last("op").After(last); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(giveUp) {
			return fmt.Errorf("the gateway does not read the manifest")
		}
	}
	time.Sleep(50 * time.Millisecond)
	mft := manifest(manifestOptions{version: 8, keys: []string{key}})
	mft["services"] = append(mft["services"].([]any), map[string]any{"name": "dele69a", "healthPath": "/health", "maxConns": 370, "protocol": "h1", "tls": false,
		"engine": map[string]any{"slots": 64, "kvCapacity": 88000, "kvBytes": 163840, "models": []any{map[string]any{"name": "m"}}}})
	mft["routes"] = append(mft["routes"].([]any), map[string]any{"name": "r-new", "host": host, "prefix": "/mexa17/", "kind": "streaming", "timeoutMs": 25000, "targetLatencyMs": 4500, "priority": 1,
		"service": "dele69a", "maxAttempts": 5, "public": false, "sessionAffinity": true, "resumable": true, "gapAimMs": 700})
	inst.store.put("op", "config", mft)
	inst.logf("the operator creates the service dele69a with version 8")
	time.Sleep(100 * time.Millisecond)
	start := time.Now()
	if inst.trouble {
		inst.store.setDown(true)
		inst.logf("the store is down")
		time.AfterFunc(downTime, func() {
			inst.store.setDown(false)
			inst.logf("the store is up")
		})
	}
	var failed error
	go func() {
		time.Sleep(500 * time.Millisecond)
		_ = crashing.cmd.Process.Kill()
		crashing.lapse()
		inst.logf("engine %s of huvo11a crashed for good", crashing.id)
		time.Sleep(reuseAfter + 200*time.Millisecond)
		_, failed = inst.addEngine("b-1", "dele69a", crashing.addr, args...)
	}()
	var done sync.WaitGroup
	for ix := 0; time.Since(start) < downTime+2*time.Second; ix++ {
		done.Add(1)
		go func() {
			defer done.Done()
			inst.send(gwp, "POST", "/lohu930/2f", fmt.Sprintf("stream-%d", ix), key, 25*time.Second, "prompt", "X-Model", "m", "X-Token-Usage", "1110,240", "X-Prefix-Hash", fmt.Sprintf("5c1e07a2:200,a%04x:910", ix))
		}()
		time.Sleep(interval)
	}
	done.Wait()
	if failed != nil {
		return failed
	}
	foreign := 0
	for _, rec := range inst.runs() {
		if rec.Engine == "b-1" && rec.What == "ran" && strings.HasPrefix(rec.Request, "stream") {
			foreign++
		}
	}
	if foreign > 0 {
		return errBroken{fmt.Sprintf("%d requests on a route of huvo11a were run by an engine of dele69a, to which no manifest ever let them go", foreign)}
	}
	return nil
}
