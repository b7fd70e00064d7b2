package bwmodel

import (
	"fmt"
	"net/netip"
	"slices"
	"time"
)

// Service is a kind of request that a set of upstreams serves.
type Service struct {
	Name ServiceID
	Kind ServiceKind
	// Class is the default class of requests.
	Class WorkClass
	// QueueLimit is the number of requests that may be queued in one router.
	QueueLimit int
	// Deadline limits the time that a request of PromptClass is queued.
	Deadline time.Duration
	// Actions lists the path prefixes of a plain service whose requests are not
	// idempotent.
	Actions []string
	// Models lists the models of a model service. Empty means one model with the
	// service's name, which its engines always have loaded.
	Models []ServedModel
}

// Model returns a model of the service by name, and whether it exists.
func (svc Service) Model(name string) (ServedModel, bool) {
	if len(svc.Models) == 0 && name == string(svc.Name) {
		return ServedModel{Name: name}, true
	}
	ix := slices.IndexFunc(svc.Models, func(mod ServedModel) bool { return mod.Name == name })
	if ix < 0 {
		return ServedModel{}, false
	}
	return svc.Models[ix], true
}

// ServedModel is a model, or an adapter of one, that callers may request.
type ServedModel struct {
	Name string
	// Base is the model that an adapter extends; empty for a model.
	Base string
	// Bytes is the size of the weights in bytes.
	Bytes int64
	// MinEngines is the number of engines per region that have it loaded even
	// without demand.
	MinEngines int
}

// Team is a group of callers with common keys and limits.
type Team struct {
	Name TeamID
	// Keys are all valid at the same time, so that a key can be rotated.
	Keys []TeamKey
	// Weight is the team's share of a contended service relative to other teams.
	Weight int
	// Services lists the services that the team may call; empty means all.
	Services []ServiceID
	// MaxInFlight limits the team's requests in progress in the whole fleet; 0 means
	// no limit.
	MaxInFlight int
}

// MayCall reports whether the team may call a service.
func (tm Team) MayCall(svc ServiceID) bool {
	return len(tm.Services) == 0 || slices.Contains(tm.Services, svc)
}

// TeamKey is the SHA-256 hash of a caller's key.
type TeamKey struct {
	Hash [32]byte
	// NotAfter ends the key's validity; the zero time means no end.
	NotAfter time.Time
}

// Upstream is a model engine or an instance of a plain service, reached through
// its agent.
type Upstream struct {
	Name    UpstreamID
	Service ServiceID
	Region  RegionID
	Zone    ZoneID
	// Agent is the address of the upstream's agent.
	Agent netip.AddrPort
	// Draining is set when the upstream gets no new requests.
	Draining bool
	// ChecksFence is set when the upstream itself rejects stale fencing tokens.
	ChecksFence bool
	// Slots is the number of requests that the upstream runs concurrently.
	Slots int
}

// ServiceKind is the kind of a service's upstreams.
type ServiceKind int

// Kinds of service.
const (
	// ModelService is served by model engines.
	ModelService ServiceKind = iota + 1
	// PlainService is served by instances of an HTTP application.
	PlainService
)

// String returns the name used in tickets.
func (sk ServiceKind) String() string {
	switch sk {
	case ModelService:
		return "Model"
	case PlainService:
		return "Plain"
	}
	return fmt.Sprintf("ServiceKind(%d)", int(sk))
}

// ParseServiceKind parses the name used in tickets.
func ParseServiceKind(txt string) (ServiceKind, error) {
	switch txt {
	case "Model":
		return ModelService, nil
	case "Plain":
		return PlainService, nil
	}
	return 0, fmt.Errorf("service kind %q is not one of Model, Plain", txt)
}

// WorkClass states whether a request must be answered promptly or may wait.
type WorkClass int

// Classes of work.
const (
	// PromptClass requests must be answered promptly.
	PromptClass WorkClass = iota + 1
	// DeferrableClass requests may wait and be preempted.
	DeferrableClass
)

// String returns the name used in tickets and requests.
func (wc WorkClass) String() string {
	switch wc {
	case PromptClass:
		return "Prompt"
	case DeferrableClass:
		return "Deferrable"
	}
	return fmt.Sprintf("WorkClass(%d)", int(wc))
}

// ParseWorkClass parses the name used in tickets and requests.
func ParseWorkClass(txt string) (WorkClass, error) {
	switch txt {
	case "Prompt":
		return PromptClass, nil
	case "Deferrable":
		return DeferrableClass, nil
	}
	return 0, fmt.Errorf("work class %q is not one of Prompt, Deferrable", txt)
}
