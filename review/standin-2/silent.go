package main

import (
	"fmt"
	"sync"
	"time"
)

// playSilent lets the open channels to the store go silent, and withdraws a key.
func playSilent(inst *installation) error {
	const withdrawn = "n2ctnfzs989anu6wsjnb"
	fwt := watchFeeds(inst.store)
	inst.store.put("op", "config", manifest(manifestOptions{version: 7, keys: []string{orderKey, withdrawn}}))
	if _, err := inst.addEngine("i-1", "wuno96b", ""); err != nil {
		return err
	}
	gwp, err := inst.startGateway()
	if err != nil {
		return err
	}
	time.Sleep(5 * time.Second)
	if res := inst.send(gwp, "GET", "/pufi791/2f", "before", withdrawn, time.Second, ""); res.status != 200 {
		return fmt.Errorf("not served before: status %d", res.status)
	}
	// The channels of the manifest and of the list of engines are idle between two calls,
	// and the third call waits for changes, as at many moments.
	for giveUp := time.Now().Add(60 * time.Second); ; time.Sleep(2 * time.Millisecond) {
		now := time.Now()
		if now.Sub(fwt.last("op")) < 30*time.Millisecond && now.Sub(fwt.last("servers")) < 800*time.Millisecond && !inst.store.waiting("servers") && inst.store.waiting("BilberrywickGateways") {
			break
		}
		if now.After(giveUp) {
			return fmt.Errorf("no moment between two calls")
		}
	}
	time.Sleep(20 * time.Millisecond)
	silentAt := time.Now()
	if inst.trouble {
		inst.store.silence()
		inst.logf("the open channels to the store are silent; new ones work")
	}
	time.Sleep(100 * time.Millisecond)
	inst.store.put("op", "config", manifest(manifestOptions{version: 8, keys: []string{orderKey}}))
	ackedAt := time.Now()
	inst.logf("the operator withdraws a key with version 8")
	// The machine is in touch again stableWindow after the channels went silent.
	bound := silentAt.Add(stableWindow)
	if end := ackedAt.Add(configTime); end.After(bound) {
		bound = end
	}
	time.Sleep(time.Until(bound.Add(20 * time.Millisecond)))
	inst.logf("the gateway is in touch, and the bound for the change has passed")
	var done sync.WaitGroup
	var mu sync.Mutex
	served := 0
	var latest time.Time
	for ix := range 50 {
		done.Add(1)
		go func() {
			defer done.Done()
			res := inst.send(gwp, "GET", "/pufi791/2f", fmt.Sprintf("after-%d", ix), withdrawn, time.Second, "")
			mu.Lock()
			defer mu.Unlock()
			if res.status == 200 {
				served++
				if res.sentAt.After(latest) {
					latest = res.sentAt
				}
			}
		}()
		time.Sleep(40 * time.Millisecond)
	}
	done.Wait()
	if served > 0 {
		return errBroken{fmt.Sprintf("%d requests with the withdrawn key were served, the last one sent %.2f s after the ack of the version that dropped it", served, latest.Sub(ackedAt).Seconds())}
	}
	return nil
}
