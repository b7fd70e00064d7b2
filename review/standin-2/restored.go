package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

// engineCount is the number of engines of a service of which one is lost or leaves; the
// site file allows a share of .15.
const engineCount = 7

const orderKey = "anfqasnmgkcuyj8pjbvk"

// feedWatch knows when the gateway last got an answer with changes of a table.
type feedWatch struct {
	mu sync.Mutex
	at map[string]time.Time
}

func watchFeeds(str *store) *feedWatch {
	fwt := &feedWatch{at: make(map[string]time.Time)}
	str.onFeed = func(table string) {
		fwt.mu.Lock()
		defer fwt.mu.Unlock()
		fwt.at[table] = time.Now()
	}
	return fwt
}

func (fwt *feedWatch) last(table string) time.Time {
	fwt.mu.Lock()
	defer fwt.mu.Unlock()
	return fwt.at[table]
}

// orders sends a number of orders at a time, after each interval, until an end.
func (inst *installation) orders(gwp *gateway, name string, count int, interval time.Duration, end time.Time) []result {
	var done sync.WaitGroup
	var mu sync.Mutex
	var all []result
	for ix := 0; time.Now().Before(end); ix++ {
		done.Add(1)
		go func() {
			defer done.Done()
			res := inst.send(gwp, "POST", "/puxa403/2f", fmt.Sprintf("%s-%d", name, ix), orderKey, time.Second, "order")
			mu.Lock()
			all = append(all, res)
			mu.Unlock()
		}()
		if ix%count == count-1 {
			time.Sleep(interval)
		}
	}
	done.Wait()
	return all
}

// lateRuns returns the requests that reached an engine and were sent after a time.
func (inst *installation) lateRuns(engine string, after time.Time, all []result) []string {
	sent := make(map[string]time.Time)
	for _, res := range all {
		sent[res.id] = res.sentAt
	}
	var late []string
	for _, rec := range inst.runs() {
		if at, ok := sent[rec.Request]; ok && rec.Engine == engine && rec.What == "begins" && at.After(after) {
			late = append(late, fmt.Sprintf("%s (sent %.1f s after)", rec.Request, at.Sub(after).Seconds()))
		}
	}
	return late
}

// playRestored lets the store come back from a copy that still has the entry of an engine
// which has left since.
func playRestored(inst *installation) error {
	const (
		awayTime = 400 * time.Millisecond
		// writtenAgain is when the engine that leaves removes its entry again.
		writtenAgain = 1800 * time.Millisecond
	)
	fwt := watchFeeds(inst.store)
	inst.store.put("op", "config", manifest(manifestOptions{version: 7, keys: []string{orderKey}}))
	leaver, err := inst.addEngine("i-1", "wuno96b", "")
	if err != nil {
		return err
	}
	for ix := 1; ix < engineCount; ix++ {
		if _, err := inst.addEngine(fmt.Sprintf("i-%d", ix+1), "wuno96b", ""); err != nil {
			return err
		}
	}
	gwp, err := inst.startGateway()
	if err != nil {
		return err
	}
	time.Sleep(4 * time.Second)
	first := inst.orders(gwp, "first", 2, 100*time.Millisecond, time.Now().Add(2*time.Second))
	if len(inst.lateRuns("i-1", time.Time{}, first)) == 0 {
		return fmt.Errorf("engine i-1 had no requests before it left")
	}
	// The copy has a report that the gateway has not read.
	giveUp := time.Now().Add(20 * time.Second)
	for {
		read, reported := fwt.last("servers"), leaver.lastReport()
		if reported.After(read) && time.Since(reported) > 50*time.Millisecond && time.Since(read) < 700*time.Millisecond {
			break
		}
		if time.Now().After(giveUp) {
			return fmt.Errorf("no report between two reads")
		}
		time.Sleep(5 * time.Millisecond)
	}
	copied := inst.store.snapshot()
	copiedAt := time.Now()
	time.Sleep(100 * time.Millisecond)
	leaver.stopReports()
	inst.store.remove("servers", "i-1")
	left := time.Now()
	_ = leaver.cmd.Process.Signal(syscall.SIGUSR1)
	inst.logf("engine i-1 leaves: its entry is removed, and it serves on for a while")
	time.Sleep(2500 * time.Millisecond)
	if read := fwt.last("servers"); !read.After(left) {
		return fmt.Errorf("the gateway has not read the removal")
	}
	if inst.trouble {
		inst.store.setRefuses(true)
		inst.logf("the store is away")
		time.Sleep(awayTime)
		inst.store.restore(copied)
		inst.store.setRefuses(false)
		inst.logf("the store is back from a copy that is %.1f s old", time.Since(copiedAt).Seconds())
		time.AfterFunc(writtenAgain, func() {
			inst.store.remove("servers", "i-1")
			inst.logf("engine i-1 removes its entry again")
		})
	}
	second := inst.orders(gwp, "second", 8, 100*time.Millisecond, time.Now().Add(5*time.Second))
	if late := inst.lateRuns("i-1", left.Add(drainTime), second); len(late) > 0 {
		return errBroken{fmt.Sprintf("%d orders reached engine i-1 later than %v after the store had acknowledged that it is gone and the gateway had read that: %v", len(late), drainTime, late)}
	}
	return nil
}
