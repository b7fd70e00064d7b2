package bwfakestore

import (
	"encoding/json"
	"net/http"
	"slices"
	"sync"

	"bilberrywick/core/bwmodel"
	"bilberrywick/io/bwstore"
)

// listService serves the VM list as a JSON document.
type listService struct {
	gate    gate
	mu      sync.Mutex
	members []bwmodel.Member
	// shown is what the service answers; it lags behind members while stale.
	shown []bwmodel.Member
}

// ServeHTTP answers one request for the list.
func (lss *listService) ServeHTTP(rsp http.ResponseWriter, req *http.Request) {
	goOn, throttled := lss.gate.enter(req)
	if throttled {
		http.Error(rsp, "too many requests", http.StatusTooManyRequests)
	}
	if !goOn {
		return
	}
	lss.gate.countRead()
	doc := bwstore.VMList{VMs: []bwstore.VM{}}
	for _, mem := range lss.show() {
		doc.VMs = append(doc.VMs, bwstore.NewVM(mem))
	}
	rsp.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(rsp).Encode(doc)
}

func (lss *listService) setMembers(members []bwmodel.Member) {
	lss.mu.Lock()
	defer lss.mu.Unlock()
	lss.members = slices.Clone(members)
}

func (lss *listService) show() []bwmodel.Member {
	stale := lss.gate.current().StaleList
	lss.mu.Lock()
	defer lss.mu.Unlock()
	if !stale {
		lss.shown = lss.members
	}
	return lss.shown
}
