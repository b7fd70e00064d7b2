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
	injector faultInjector
	mu       sync.Mutex
	members  []bwmodel.Member
	// visible is the list that is served. It isn't updated while StaleList is set.
	visible []bwmodel.Member
}

// ServeHTTP handles one request for the list.
func (lss *listService) ServeHTTP(rsp http.ResponseWriter, req *http.Request) {
	proceed, throttled := lss.injector.beginRequest(rsp, req)
	if throttled {
		http.Error(rsp, "too many requests", http.StatusTooManyRequests)
	}
	if !proceed {
		return
	}
	lss.injector.countRead()
	doc := bwstore.VMList{VMs: []bwstore.VM{}}
	for _, mem := range lss.visibleMembers() {
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

func (lss *listService) visibleMembers() []bwmodel.Member {
	stale := lss.injector.currentFaults().StaleList
	lss.mu.Lock()
	defer lss.mu.Unlock()
	if !stale {
		lss.visible = lss.members
	}
	return lss.visible
}
