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

// Bounds on the objects of a ticket.
const (
	maxNameLength = 128
	maxWeight     = 1_000_000
	// maxModels keeps a report of demand, which has one number for each model, small.
	maxModels = 64
)

// Check returns every fault of a ticket that would follow the state, or nil.
func Check(st *State, tk Ticket) Faults {
	chk := &checker{before: st, after: st.with(tk), seen: make(map[string]string)}
	if tk.Number == 0 {
		chk.fault("Number", "must be at least 1")
	}
	if tk.ObjectCount() == 0 {
		chk.fault("Number", "ticket %d changes nothing", tk.Number)
	}
	if tk.ObjectCount() > MaxObjects {
		chk.fault("Number", "ticket sets and removes %d objects, at most %d are allowed", tk.ObjectCount(), MaxObjects)
	}
	for ix, svc := range tk.Services {
		chk.service(fmt.Sprintf("Services[%d]", ix), svc)
	}
	for ix, tm := range tk.Teams {
		chk.team(fmt.Sprintf("Teams[%d]", ix), tm)
	}
	for ix, ups := range tk.Upstreams {
		chk.upstream(fmt.Sprintf("Upstreams[%d]", ix), ups)
	}
	chk.removal(tk.Remove)
	return chk.faults
}

type checker struct {
	before *State
	after  *State
	// seen maps kind and name to the path that used the name first.
	seen   map[string]string
	faults Faults
}

func (chk *checker) fault(path, format string, args ...any) {
	chk.faults = append(chk.faults, Fault{Path: path, Reason: fmt.Sprintf(format, args...)})
}

// name checks a name's form, and that no other part of the ticket touches the object.
func (chk *checker) name(path, kind, name string) {
	switch {
	case name == "":
		chk.fault(path, "must not be empty")
		return
	case len(name) > maxNameLength:
		chk.fault(path, "has %d bytes, at most %d are allowed", len(name), maxNameLength)
	case strings.ContainsFunc(name, unsafeRune):
		chk.fault(path, "%q contains a space, a slash or a control character", name)
	}
	key := kind + "/" + name
	if first, ok := chk.seen[key]; ok {
		chk.fault(path, "%s %q is named at %s already", kind, name, first)
		return
	}
	chk.seen[key] = path
}

func (chk *checker) service(path string, svc bwmodel.Service) {
	chk.name(path+".Name", "service", string(svc.Name))
	if svc.Kind != bwmodel.ModelService && svc.Kind != bwmodel.PlainService {
		chk.fault(path+".Kind", "must be Model or Plain")
	}
	if svc.Class != bwmodel.PromptClass && svc.Class != bwmodel.DeferrableClass {
		chk.fault(path+".Class", "must be Prompt or Deferrable")
	}
	if svc.QueueLimit < 1 {
		chk.fault(path+".QueueLimit", "is %d, must be at least 1", svc.QueueLimit)
	}
	if svc.Deadline <= 0 {
		chk.fault(path+".Deadline", "is %v, must be positive", svc.Deadline)
	}
	if svc.Kind == bwmodel.ModelService && len(svc.Actions) > 0 {
		chk.fault(path+".Actions", "a model service has no actions")
	}
	for ix, prefix := range svc.Actions {
		if !strings.HasPrefix(prefix, "/") {
			chk.fault(fmt.Sprintf("%s.Actions[%d]", path, ix), "%q does not start with a slash", prefix)
		}
	}
	if svc.Kind != bwmodel.ModelService && len(svc.Models) > 0 {
		chk.fault(path+".Models", "a plain service has no models")
		return
	}
	if len(svc.Models) > maxModels {
		chk.fault(path+".Models", "has %d models, at most %d are allowed", len(svc.Models), maxModels)
	}
	chk.models(path, svc)
}

// models checks each model of a service, and that no other service has it.
func (chk *checker) models(path string, svc bwmodel.Service) {
	for ix, mod := range svc.Models {
		field := fmt.Sprintf("%s.Models[%d]", path, ix)
		if mod.Bytes < 1 {
			chk.fault(field+".Bytes", "is %d, must be at least 1", mod.Bytes)
		}
		if mod.MinEngines < 0 {
			chk.fault(field+".MinEngines", "is %d, must not be negative", mod.MinEngines)
		}
		if base, ok := svc.Model(mod.Base); mod.Base != "" && (!ok || base.Base != "") {
			chk.fault(field+".Base", "%q is not a model of the service that is no adapter", mod.Base)
		}
		if mod.Name == "" || len(mod.Name) > maxNameLength || strings.ContainsFunc(mod.Name, unsafeModelRune) {
			chk.fault(field+".Name", "%q is empty, longer than %d bytes, or contains a space or a control character", mod.Name, maxNameLength)
		}
	}
	for ix, name := range modelNames(svc) {
		field := path + ".Name"
		if len(svc.Models) > 0 {
			field = fmt.Sprintf("%s.Models[%d].Name", path, ix)
		}
		chk.modelName(field, svc.Name, name)
	}
}

func (chk *checker) modelName(field string, svc bwmodel.ServiceID, name string) {
	if first, ok := chk.seen["model/"+name]; ok {
		chk.fault(field, "model %q is named at %s already", name, first)
		return
	}
	chk.seen["model/"+name] = field
	for _, ent := range chk.after.services {
		if ent.Object.Name != svc && slices.Contains(modelNames(ent.Object), name) && chk.touched(ent.Object.Name) == "" {
			chk.fault(field, "model %q belongs to service %q", name, ent.Object.Name)
		}
	}
}

// touched returns the path at which the ticket names a service, if it does.
func (chk *checker) touched(id bwmodel.ServiceID) string { return chk.seen["service/"+string(id)] }

func (chk *checker) team(path string, tm bwmodel.Team) {
	chk.name(path+".Name", "team", string(tm.Name))
	if tm.Weight < 1 || tm.Weight > maxWeight {
		chk.fault(path+".Weight", "is %d, must be from 1 to %d", tm.Weight, maxWeight)
	}
	if tm.MaxInFlight < 0 {
		chk.fault(path+".MaxInFlight", "is %d, must not be negative", tm.MaxInFlight)
	}
	if len(tm.Keys) == 0 {
		chk.fault(path+".Keys", "must hold at least one key")
	}
	for ix, key := range tm.Keys {
		chk.key(fmt.Sprintf("%s.Keys[%d].SHA256", path, ix), tm.Name, key)
	}
	for ix, id := range tm.Services {
		if _, ok := chk.after.Service(id); !ok {
			chk.fault(fmt.Sprintf("%s.Services[%d]", path, ix), "service %q does not exist", id)
		}
	}
}

func (chk *checker) key(path string, team bwmodel.TeamID, key bwmodel.TeamKey) {
	if key.Hash == [32]byte{} {
		chk.fault(path, "must not be zero")
		return
	}
	if own, ok := chk.before.keys[key.Hash]; ok && own.team != team && chk.after.teamHasKey(own.team, key.Hash) {
		chk.fault(path, "key belongs to team %q", own.team)
		return
	}
	id := "key/" + string(key.Hash[:])
	if first, ok := chk.seen[id]; ok {
		chk.fault(path, "key is used at %s already", first)
		return
	}
	chk.seen[id] = path
}

func (st *State) teamHasKey(id bwmodel.TeamID, hash [32]byte) bool {
	for _, key := range st.teams[id].Object.Keys {
		if key.Hash == hash {
			return true
		}
	}
	return false
}

func (chk *checker) upstream(path string, ups bwmodel.Upstream) {
	chk.name(path+".Name", "upstream", string(ups.Name))
	if _, ok := chk.after.Service(ups.Service); !ok {
		chk.fault(path+".Service", "service %q does not exist", ups.Service)
	}
	if ups.Region == "" {
		chk.fault(path+".Region", "must not be empty")
	}
	if ups.Zone == "" {
		chk.fault(path+".Zone", "must not be empty")
	}
	if ups.Slots < 1 {
		chk.fault(path+".Slots", "is %d, must be at least 1", ups.Slots)
	}
	if !validAddress(ups.Agent) {
		chk.fault(path+".Agent", "%v is not an address with a port", ups.Agent)
		return
	}
	for _, ent := range chk.after.upstreams {
		if ent.Object.Agent == ups.Agent && ent.Object.Name != ups.Name {
			chk.fault(path+".Agent", "%v is the agent of upstream %q", ups.Agent, ent.Object.Name)
		}
	}
}

func (chk *checker) removal(rem Removal) {
	for ix, id := range rem.Services {
		path := fmt.Sprintf("Remove.Services[%d]", ix)
		chk.name(path, "service", string(id))
		if _, ok := chk.before.Service(id); !ok {
			chk.fault(path, "service %q does not exist", id)
		}
		chk.unused(path, id)
	}
	for ix, id := range rem.Teams {
		path := fmt.Sprintf("Remove.Teams[%d]", ix)
		chk.name(path, "team", string(id))
		if _, ok := chk.before.Team(id); !ok {
			chk.fault(path, "team %q does not exist", id)
		}
	}
	for ix, id := range rem.Upstreams {
		path := fmt.Sprintf("Remove.Upstreams[%d]", ix)
		chk.name(path, "upstream", string(id))
		if _, ok := chk.before.Upstream(id); !ok {
			chk.fault(path, "upstream %q does not exist", id)
		}
	}
}

// unused checks that nothing refers to a removed service any more.
func (chk *checker) unused(path string, id bwmodel.ServiceID) {
	for _, ups := range chk.after.UpstreamsOf(id) {
		chk.fault(path, "upstream %q still serves service %q", ups.Name, id)
	}
	for _, ent := range chk.after.Teams() {
		for _, svc := range ent.Object.Services {
			if svc == id {
				chk.fault(path, "team %q still refers to service %q", ent.Object.Name, id)
			}
		}
	}
}

func validAddress(addr netip.AddrPort) bool {
	return addr.IsValid() && addr.Port() != 0 && !addr.Addr().IsUnspecified()
}

// unsafeModelRune allows slashes, which are usual in names of models.
func unsafeModelRune(chr rune) bool { return chr != '/' && unsafeRune(chr) }

func unsafeRune(chr rune) bool { return chr <= ' ' || chr == '/' || chr == 0x7f }
