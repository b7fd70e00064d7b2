package main

import (
	"fmt"
	"strings"
	"time"
)

// playSlashes adds a route with the shortest prefix, and sends orders whose path begins
// with two slashes.
func playSlashes(inst *installation) error {
	const path = "//puxa403/2f?n=1"
	first := manifest(manifestOptions{version: 7, keys: []string{orderKey}})
	inst.store.put("op", "config", first)
	if _, err := inst.addEngine("i-1", "wuno96b", ""); err != nil {
		return err
	}
	gwp, err := inst.startGateway()
	if err != nil {
		return err
	}
	time.Sleep(4 * time.Second)
	if res := inst.send(gwp, "POST", "/puxa403/2f?n=1", "plain", orderKey, time.Second, "order"); res.status != 200 {
		return fmt.Errorf("an order was not served: status %d", res.status)
	}
	if inst.trouble {
		mft := manifest(manifestOptions{version: 8, keys: []string{orderKey}})
		mft["routes"] = append(mft["routes"].([]any), map[string]any{"name": "r-rest", "host": host, "prefix": "/", "kind": "unsafe", "timeoutMs": 1000,
			"targetLatencyMs": 100, "priority": 2, "service": "wuno96b", "maxAttempts": 1, "public": false})
		inst.store.put("op", "config", mft)
		inst.logf("the operator adds a route with the prefix / in version 8")
	}
	time.Sleep(configTime + time.Second)
	for ix := range 10 {
		inst.send(gwp, "POST", path, fmt.Sprintf("slashes-%d", ix), orderKey, time.Second, "order")
		inst.send(gwp, "POST", "/other/2f?n=1", fmt.Sprintf("other-%d", ix), orderKey, time.Second, "order")
	}
	var changed []string
	for _, rec := range inst.runs() {
		if rec.What == "begins" && strings.HasPrefix(rec.Request, "slashes") && rec.Header["Path"] != path {
			changed = append(changed, fmt.Sprintf("%s: %s of host %s", rec.Request, rec.Header["Path"], rec.Header["Host"]))
		}
	}
	if len(changed) > 0 {
		return errBroken{fmt.Sprintf("%d orders sent to %s of host %s ran with another path: %v", len(changed), path, host, changed)}
	}
	return nil
}
