package bwstore

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"time"

	"bilberrywick/core/bwmodel"
)

// defaultListPath is the default of Config.ListPath.
const defaultListPath = "/v1/vms"

// maxListBytes limits the size of the list; a list of 4,000 VMs has about 1 MB.
const maxListBytes = 16 << 20

// VMListClient is a client of the platform's list of VMs. The list lags behind the
// actual state of the VMs.
type VMListClient struct {
	obs        observer
	httpClient *http.Client
	url        string
}

// VMList is the platform's list of live and leaving VMs, in its JSON form.
type VMList struct{ VMs []VM }

// VM is one entry of a VMList.
type VM struct {
	ID          bwmodel.MemberID
	Incarnation bwmodel.Incarnation
	// Role is Router, Agent, or the role of a VM that doesn't belong to the system.
	Role    string
	Region  bwmodel.RegionID
	Zone    bwmodel.ZoneID
	Address netip.AddrPort
	Leaving bool `json:",omitempty"`
}

// Members returns the VMs that run a process of the system, or ErrUnavailable or
// ErrInvalid.
func (ls *VMListClient) Members(ctx context.Context) ([]bwmodel.Member, error) {
	start := time.Now()
	val, err := ls.members(ctx)
	ls.obs.report(VMListStore, "Read", start, err)
	return val, err
}

func (ls *VMListClient) members(ctx context.Context) ([]bwmodel.Member, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, ls.url, http.NoBody)
	if err != nil {
		return nil, fmt.Errorf("list VMs: %w: %w", ErrInvalid, err)
	}
	rsp, err := ls.httpClient.Do(req)
	if err != nil {
		return nil, readError("list VMs", err)
	}
	defer func() { _ = rsp.Body.Close() }()
	if rsp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("list VMs: status %d: %w", rsp.StatusCode, ErrUnavailable)
	}
	var doc VMList
	body, err := io.ReadAll(io.LimitReader(rsp.Body, maxListBytes))
	if err == nil {
		err = json.Unmarshal(body, &doc)
	}
	if err != nil {
		return nil, readError("list VMs", err)
	}
	members := make([]bwmodel.Member, 0, len(doc.VMs))
	for _, vm := range doc.VMs {
		if mem, ok := vm.member(); ok {
			members = append(members, mem)
		}
	}
	return members, nil
}

// NewVM returns the list entry of a member.
func NewVM(mem bwmodel.Member) VM {
	return VM{
		ID:          mem.ID,
		Incarnation: mem.Incarnation,
		Role:        mem.Role.String(),
		Region:      mem.Region,
		Zone:        mem.Zone,
		Address:     mem.Address,
		Leaving:     mem.Leaving,
	}
}

// member converts the entry. It reports false for a VM with another role, which
// doesn't belong to the system.
func (vm VM) member() (bwmodel.Member, bool) {
	mem := bwmodel.Member{
		ID:          vm.ID,
		Incarnation: vm.Incarnation,
		Region:      vm.Region,
		Zone:        vm.Zone,
		Address:     vm.Address,
		Leaving:     vm.Leaving,
	}
	switch vm.Role {
	case bwmodel.RouterRole.String():
		mem.Role = bwmodel.RouterRole
	case bwmodel.AgentRole.String():
		mem.Role = bwmodel.AgentRole
	default:
		return bwmodel.Member{}, false
	}
	return mem, true
}
