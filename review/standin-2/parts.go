package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// playParts sends requests with a part that crashes engines as the last but one of 19
// parts, beside sound requests with the other parts.
func playParts(inst *installation) error {
	const (
		key      = "n2ctnfzs989anu6wsjnb"
		deadly   = "0dead0"
		engines  = 8
		downTime = 2 * time.Second
		length   = 30 * time.Second
		interval = 250 * time.Millisecond
		// deadlyEvery is the number of sound requests for each with the deadly part.
		deadlyEvery = 20
		// lateCrashes and maxLate are those of the rule.
		lateCrashes = 5
		maxLate     = 3
	)
	mft := manifest(manifestOptions{version: 7, keys: []string{key}})
	mft["routes"] = append(mft["routes"].([]any), map[string]any{"name": "r-once", "host": host, "prefix": "/once/", "kind": "streaming", "timeoutMs": 25000,
		"targetLatencyMs": 4500, "priority": 1, "service": "huvo11a", "maxAttempts": 1, "public": false, "sessionAffinity": true, "resumable": false, "gapAimMs": 700})
	inst.store.put("op", "config", mft)
	args := []string{"-model", "-events", "100", "-step", "20ms", "-prefill", "200ms"}
	if inst.trouble {
		args = append(args, "-deadly", deadly)
	}
	for ix := range engines {
		eng, err := inst.addEngine(fmt.Sprintf("i-%d", ix), "huvo11a", "", args...)
		if err != nil {
			return err
		}
		go inst.revive(eng, downTime, 1)
	}
	gwp, err := inst.startGateway()
	if err != nil {
		return err
	}
	var shared []string
	for ix := range 17 {
		shared = append(shared, fmt.Sprintf("5c1e%04x:60", ix))
	}
	prefix := strings.Join(shared, ",")
	time.Sleep(4 * time.Second)
	var done sync.WaitGroup
	var mu sync.Mutex
	var sound []result
	for startedAt, ix := time.Now(), 0; time.Since(startedAt) < length; ix++ {
		if ix%deadlyEvery == deadlyEvery/2 {
			done.Add(1)
			go func() {
				defer done.Done()
				inst.send(gwp, "POST", "/lohu930/2f", fmt.Sprintf("deadly-%d", ix), key, 25*time.Second, "prompt", "X-Model", "m", "X-Token-Usage", "1520,800", "X-Prefix-Hash", fmt.Sprintf("%s,%s:200,d%04x:300", prefix, deadly, ix))
			}()
		}
		done.Add(1)
		go func() {
			defer done.Done()
			path := []string{"/lohu930/2f", "/once/2f"}[ix%2]
			res := inst.send(gwp, "POST", path, fmt.Sprintf("sound-%d%s", ix, path[:5]), key, 25*time.Second, "prompt", "X-Model", "m", "X-Token-Usage", "1520,800", "X-Prefix-Hash", fmt.Sprintf("%s,a%04x:500", prefix, ix))
			mu.Lock()
			defer mu.Unlock()
			sound = append(sound, res)
		}()
		time.Sleep(interval)
	}
	done.Wait()
	var crashes []time.Time
	for _, rec := range inst.runs() {
		if rec.What == "crashed" {
			crashes = append(crashes, rec.At)
		}
	}
	if len(crashes) < lateCrashes {
		return nil
	}
	bound := crashes[lateCrashes-1].Add(stableWindow)
	broken := 0
	for _, res := range sound {
		if res.sentAt.After(bound) && res.status == 200 && !res.complete {
			broken++
		}
	}
	var late []string
	for _, rec := range inst.runs() {
		if rec.What == "begins" && strings.HasPrefix(rec.Request, "deadly") && rec.At.After(bound) {
			late = append(late, fmt.Sprintf("%s at %s", rec.Request, rec.Engine))
		}
	}
	inst.logf("%d crashes; %d requests with the part reached engines later than %v after crash %d; of %d sound streams, %d sent after that were broken off", len(crashes), len(late), stableWindow, lateCrashes, len(sound), broken)
	if len(late) > maxLate {
		return errBroken{fmt.Sprintf("%d requests with the part reached engines later than %v after the fifth crash: %v; %d crashes in all; %d sound streams that were sent after that were broken off", len(late), stableWindow, late, len(crashes), broken)}
	}
	return nil
}

// revive starts an engine again some seconds after each crash.
func (inst *installation) revive(eng *engineProcess, downTime time.Duration, run int) {
	<-eng.cmd.ended
	eng.lapse()
	time.Sleep(downTime)
	name, _, _ := strings.Cut(eng.id, ".")
	next, err := inst.addEngine(fmt.Sprintf("%s.%d", name, run), eng.service, eng.addr, eng.args...)
	if err != nil {
		return
	}
	inst.revive(next, downTime, run+1)
}
