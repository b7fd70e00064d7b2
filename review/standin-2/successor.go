package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// playSuccessor lets an engine crash for good while the store turns the gateway away. Its
// address goes to an engine of a service that the operator creates meanwhile.
func playSuccessor(inst *installation) error {
	const (
		key = "n2ctnfzs989anu6wsjnb"
		// reuseAfter is the time after which an address is used again.
		reuseAfter  = 2 * time.Second
		refusedTime = 9 * time.Second
		interval    = 100 * time.Millisecond
	)
	args := []string{"-model", "-events", "10", "-step", "20ms", "-prefill", "100ms"}
	inst.store.put("op", "config", manifest(manifestOptions{version: 7, keys: []string{key}}))
	crashing, err := inst.addEngine("i-1", "huvo11a", "", args...)
	if err != nil {
		return err
	}
	if _, err := inst.addEngine("i-2", "huvo11a", "", args...); err != nil {
		return err
	}
	gwp, err := inst.startGateway()
	if err != nil {
		return err
	}
	time.Sleep(4 * time.Second)
	start := time.Now()
	inst.store.setRefuses(inst.trouble)
	inst.logf("the store turns the gateway away: %v", inst.trouble)
	time.AfterFunc(refusedTime, func() {
		inst.store.setRefuses(false)
		inst.logf("the store serves the gateway")
	})
	var failed error
	go func() {
		time.Sleep(500 * time.Millisecond)
		mft := manifest(manifestOptions{version: 8, keys: []string{key}})
		mft["services"] = append(mft["services"].([]any), map[string]any{"name": "dele69a", "healthPath": "/health", "maxConns": 370, "protocol": "h1", "tls": false,
			"engine": map[string]any{"slots": 64, "kvCapacity": 88000, "kvBytes": 163840, "models": []any{map[string]any{"name": "m"}}}})
		mft["routes"] = append(mft["routes"].([]any), map[string]any{"name": "r-new", "host": host, "prefix": "/mexa17/", "kind": "streaming", "timeoutMs": 25000, "targetLatencyMs": 4500, "priority": 1,
			"service": "dele69a", "maxAttempts": 5, "public": false, "sessionAffinity": true, "resumable": true, "gapAimMs": 700})
		inst.store.put("op", "config", mft)
		inst.logf("the operator creates the service dele69a with version 8")
		time.Sleep(100 * time.Millisecond)
		_ = crashing.cmd.Process.Kill()
		crashing.lapse()
		inst.logf("engine i-1 of huvo11a crashed for good")
		time.Sleep(reuseAfter + 200*time.Millisecond)
		_, failed = inst.addEngine("b-1", "dele69a", crashing.addr, args...)
	}()
	var done sync.WaitGroup
	for ix := 0; time.Since(start) < refusedTime+2*time.Second; ix++ {
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
