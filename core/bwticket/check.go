package bwticket

import (
	"fmt"
	"net/netip"
	"slices"
	"strings"

	"bilberrywick/core/bwmodel"
)

// Fault is one error in a ticket.
type Fault struct {
	// Path names the field, such as Upstreams[2].Service.
	Path   string
	Reason string
}

// String returns the path and the reason.
func (ft Fault) String() string { return ft.Path + ": " + ft.Reason }

// Faults are all errors of one ticket.
type Faults []Fault

// Error returns every fault, separated by semicolons.
func (fts Faults) Error() string {
	parts := make([]string, 0, len(fts))
	for _, ft := range fts {
		parts = append(parts, ft.String())
	}
	return "ticket is not valid: " + strings.Join(parts, "; ")
}

// Limits of a ticket's objects.
const (
	maxNameLength = 128
	maxWeight     = 1_000_000
	// maxModels limits the size of a demand report, which has one number for each model.
	maxModels = 64
)

// Check returns every fault of a ticket that is to be applied to the state, or nil.
func Check(st *State, tk Ticket) Faults {
	chk := &checker{current: st, next: st.withTicket(tk), paths: make(map[string]string)}
	if tk.Number == 0 {
		chk.addFault("Number", "must be at least 1")
	}
	if tk.ObjectCount() == 0 {
		chk.addFault("Number", "ticket %d changes nothing", tk.Number)
	}
	if tk.ObjectCount() > MaxObjects {
		chk.addFault("Number", "ticket sets and removes %d objects, at most %d are allowed", tk.ObjectCount(), MaxObjects)
	}
	for ix, svc := range tk.Services {
		chk.checkService(fmt.Sprintf("Services[%d]", ix), svc)
	}
	for ix, tm := range tk.Teams {
		chk.checkTeam(fmt.Sprintf("Teams[%d]", ix), tm)
	}
	for ix, ups := range tk.Upstreams {
		chk.checkUpstream(fmt.Sprintf("Upstreams[%d]", ix), ups)
	}
	chk.checkRemoval(tk.Remove)
	return chk.faults
}

type checker struct {
	current *State
	next    *State
	// paths maps kind and name to the first path with that name.
	paths  map[string]string
	faults Faults
}

func (chk *checker) addFault(path, format string, args ...any) {
	chk.faults = append(chk.faults, Fault{Path: path, Reason: fmt.Sprintf(format, args...)})
}

// checkName checks a name's syntax, and that the ticket names the object only once.
func (chk *checker) checkName(path, kind, name string) {
	switch {
	case name == "":
		chk.addFault(path, "must not be empty")
		return
	case len(name) > maxNameLength:
		chk.addFault(path, "has %d bytes, at most %d are allowed", len(name), maxNameLength)
	case strings.ContainsFunc(name, forbiddenRune):
		chk.addFault(path, "%q contains a space, a slash or a control character", name)
	}
	key := kind + "/" + name
	if first, ok := chk.paths[key]; ok {
		chk.addFault(path, "%s %q is named at %s already", kind, name, first)
		return
	}
	chk.paths[key] = path
}

func (chk *checker) checkService(path string, svc bwmodel.Service) {
	chk.checkName(path+".Name", "service", string(svc.Name))
	if svc.Kind != bwmodel.ModelService && svc.Kind != bwmodel.PlainService {
		chk.addFault(path+".Kind", "must be Model or Plain")
	}
	if svc.Class != bwmodel.PromptClass && svc.Class != bwmodel.DeferrableClass {
		chk.addFault(path+".Class", "must be Prompt or Deferrable")
	}
	if svc.QueueLimit < 1 {
		chk.addFault(path+".QueueLimit", "is %d, must be at least 1", svc.QueueLimit)
	}
	if svc.Deadline <= 0 {
		chk.addFault(path+".Deadline", "is %v, must be positive", svc.Deadline)
	}
	if svc.Kind == bwmodel.ModelService && len(svc.Actions) > 0 {
		chk.addFault(path+".Actions", "a model service has no actions")
	}
	for ix, prefix := range svc.Actions {
		if !strings.HasPrefix(prefix, "/") {
			chk.addFault(fmt.Sprintf("%s.Actions[%d]", path, ix), "%q does not start with a slash", prefix)
		}
	}
	if svc.Kind != bwmodel.ModelService && len(svc.Models) > 0 {
		chk.addFault(path+".Models", "a plain service has no models")
		return
	}
	if len(svc.Models) > maxModels {
		chk.addFault(path+".Models", "has %d models, at most %d are allowed", len(svc.Models), maxModels)
	}
	chk.checkModels(path, svc)
}

// checkModels checks each model of a service, and that no other service has it.
func (chk *checker) checkModels(path string, svc bwmodel.Service) {
	for ix, mod := range svc.Models {
		field := fmt.Sprintf("%s.Models[%d]", path, ix)
		if mod.Bytes < 1 {
			chk.addFault(field+".Bytes", "is %d, must be at least 1", mod.Bytes)
		}
		if mod.MinEngines < 0 {
			chk.addFault(field+".MinEngines", "is %d, must not be negative", mod.MinEngines)
		}
		if base, ok := svc.Model(mod.Base); mod.Base != "" && (!ok || base.Base != "") {
			chk.addFault(field+".Base", "%q is not a model of the service that is no adapter", mod.Base)
		}
		if mod.Name == "" || len(mod.Name) > maxNameLength || strings.ContainsFunc(mod.Name, forbiddenModelRune) {
			chk.addFault(field+".Name", "%q is empty, longer than %d bytes, or contains a space or a control character", mod.Name, maxNameLength)
		}
	}
	for ix, name := range modelNames(svc) {
		field := path + ".Name"
		if len(svc.Models) > 0 {
			field = fmt.Sprintf("%s.Models[%d].Name", path, ix)
		}
		chk.checkModelName(field, svc.Name, name)
	}
}

func (chk *checker) checkModelName(field string, svc bwmodel.ServiceID, name string) {
	if first, ok := chk.paths["model/"+name]; ok {
		chk.addFault(field, "model %q is named at %s already", name, first)
		return
	}
	chk.paths["model/"+name] = field
	for _, ent := range chk.next.services {
		if ent.Object.Name != svc && slices.Contains(modelNames(ent.Object), name) && chk.servicePath(ent.Object.Name) == "" {
			chk.addFault(field, "model %q belongs to service %q", name, ent.Object.Name)
		}
	}
}

// servicePath returns the path at which the ticket names a service; empty when it
// doesn't.
func (chk *checker) servicePath(id bwmodel.ServiceID) string { return chk.paths["service/"+string(id)] }

func (chk *checker) checkTeam(path string, tm bwmodel.Team) {
	chk.checkName(path+".Name", "team", string(tm.Name))
	if tm.Weight < 1 || tm.Weight > maxWeight {
		chk.addFault(path+".Weight", "is %d, must be from 1 to %d", tm.Weight, maxWeight)
	}
	if tm.MaxInFlight < 0 {
		chk.addFault(path+".MaxInFlight", "is %d, must not be negative", tm.MaxInFlight)
	}
	if len(tm.Keys) == 0 {
		chk.addFault(path+".Keys", "must hold at least one key")
	}
	for ix, key := range tm.Keys {
		chk.checkKey(fmt.Sprintf("%s.Keys[%d].SHA256", path, ix), tm.Name, key)
	}
	for ix, id := range tm.Services {
		if _, ok := chk.next.Service(id); !ok {
			chk.addFault(fmt.Sprintf("%s.Services[%d]", path, ix), "service %q does not exist", id)
		}
	}
}

func (chk *checker) checkKey(path string, team bwmodel.TeamID, key bwmodel.TeamKey) {
	if key.Hash == [32]byte{} {
		chk.addFault(path, "must not be zero")
		return
	}
	if owner, ok := chk.current.keyOwners[key.Hash]; ok && owner.team != team && chk.next.teamHasKey(owner.team, key.Hash) {
		chk.addFault(path, "key belongs to team %q", owner.team)
		return
	}
	id := "key/" + string(key.Hash[:])
	if first, ok := chk.paths[id]; ok {
		chk.addFault(path, "key is used at %s already", first)
		return
	}
	chk.paths[id] = path
}

func (st *State) teamHasKey(id bwmodel.TeamID, hash [32]byte) bool {
	for _, key := range st.teams[id].Object.Keys {
		if key.Hash == hash {
			return true
		}
	}
	return false
}

func (chk *checker) checkUpstream(path string, ups bwmodel.Upstream) {
	chk.checkName(path+".Name", "upstream", string(ups.Name))
	if _, ok := chk.next.Service(ups.Service); !ok {
		chk.addFault(path+".Service", "service %q does not exist", ups.Service)
	}
	if ups.Region == "" {
		chk.addFault(path+".Region", "must not be empty")
	}
	if ups.Zone == "" {
		chk.addFault(path+".Zone", "must not be empty")
	}
	if ups.Slots < 1 {
		chk.addFault(path+".Slots", "is %d, must be at least 1", ups.Slots)
	}
	if !validAddress(ups.Agent) {
		chk.addFault(path+".Agent", "%v is not an address with a port", ups.Agent)
		return
	}
	for _, ent := range chk.next.upstreams {
		if ent.Object.Agent == ups.Agent && ent.Object.Name != ups.Name {
			chk.addFault(path+".Agent", "%v is the agent of upstream %q", ups.Agent, ent.Object.Name)
		}
	}
}

func (chk *checker) checkRemoval(rem Removal) {
	for ix, id := range rem.Services {
		path := fmt.Sprintf("Remove.Services[%d]", ix)
		chk.checkName(path, "service", string(id))
		if _, ok := chk.current.Service(id); !ok {
			chk.addFault(path, "service %q does not exist", id)
		}
		chk.checkUnreferenced(path, id)
	}
	for ix, id := range rem.Teams {
		path := fmt.Sprintf("Remove.Teams[%d]", ix)
		chk.checkName(path, "team", string(id))
		if _, ok := chk.current.Team(id); !ok {
			chk.addFault(path, "team %q does not exist", id)
		}
	}
	for ix, id := range rem.Upstreams {
		path := fmt.Sprintf("Remove.Upstreams[%d]", ix)
		chk.checkName(path, "upstream", string(id))
		if _, ok := chk.current.Upstream(id); !ok {
			chk.addFault(path, "upstream %q does not exist", id)
		}
	}
}

// checkUnreferenced checks that no upstream or team refers to a removed service.
func (chk *checker) checkUnreferenced(path string, id bwmodel.ServiceID) {
	for _, ups := range chk.next.UpstreamsOf(id) {
		chk.addFault(path, "upstream %q still serves service %q", ups.Name, id)
	}
	for _, ent := range chk.next.Teams() {
		for _, svc := range ent.Object.Services {
			if svc == id {
				chk.addFault(path, "team %q still refers to service %q", ent.Object.Name, id)
			}
		}
	}
}

func validAddress(addr netip.AddrPort) bool {
	return addr.IsValid() && addr.Port() != 0 && !addr.Addr().IsUnspecified()
}

// forbiddenModelRune allows slashes, which are usual in the names of models.
func forbiddenModelRune(chr rune) bool { return chr != '/' && forbiddenRune(chr) }

func forbiddenRune(chr rune) bool { return chr <= ' ' || chr == '/' || chr == 0x7f }
