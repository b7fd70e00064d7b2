package bwmodel

import (
	"fmt"
	"net/netip"
	"slices"
	"time"
)

// Service is a kind of work that a set of upstreams serves.
type Service struct {
	Name ServiceID
	Kind ServiceKind
	// Class is the class of requests that do not state one.
	Class WorkClass
	// QueueLimit is the number of requests that may wait in one router.
	QueueLimit int
	// Deadline bounds the wait in the queue of a prompt request.
	Deadline time.Duration
	// Actions lists the path prefixes of a plain service whose calls are non-idempotent.
	Actions []string
	// Models lists what a model service serves; empty means one model with the
	// service's name, which its engines always hold.
	Models []ServedModel
}

// Model returns a model of the service by name.
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

// ServedModel is a model or an adapter that callers may ask for.
type ServedModel struct {
	Name string
	// Base names the model that an adapter extends; empty for a model of its own.
	Base string
	// Bytes is the size of the weights.
	Bytes int64
	// MinEngines is the number of engines of each region that hold it without any demand.
	MinEngines int
}

// Team is a group of callers that shares limits and keys.
type Team struct {
	Name TeamID
	// Keys are valid at the same time, so that a key can be rolled over.
	Keys []TeamKey
	// Weight is the team's part of a contended service relative to other teams.
	Weight int
	// Services lists what the team may call; empty means every service.
	Services []ServiceID
	// MaxInFlight bounds the team's requests in progress in the whole fleet; 0 means no bound.
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

// Upstream is one model engine or one instance of a plain service, behind its agent.
type Upstream struct {
	Name    UpstreamID
	Service ServiceID
	Region  RegionID
	Zone    ZoneID
	// Agent is where the agent beside the upstream listens.
	Agent netip.AddrPort
	// Draining stops new work to the upstream.
	Draining bool
	// ChecksFence says that the upstream itself refuses an old fencing number.
	ChecksFence bool
	// Slots is the number of requests that the upstream runs at a time.
	Slots int
}

// ServiceKind says what a service's upstreams are.
type ServiceKind int

// Kinds of service.
const (
	ModelService ServiceKind = iota + 1
	PlainService
)

// String returns the name that tickets use.
func (sk ServiceKind) String() string {
	switch sk {
	case ModelService:
		return "Model"
	case PlainService:
		return "Plain"
	}
	return fmt.Sprintf("ServiceKind(%d)", int(sk))
}

// ParseServiceKind reads the name that tickets use.
func ParseServiceKind(txt string) (ServiceKind, error) {
	switch txt {
	case "Model":
		return ModelService, nil
	case "Plain":
		return PlainService, nil
	}
	return 0, fmt.Errorf("service kind %q is not one of Model, Plain", txt)
}

// WorkClass says whether work must be answered promptly or may wait.
type WorkClass int

// Classes of work.
const (
	PromptClass WorkClass = iota + 1
	DeferrableClass
)

// String returns the name that tickets and requests use.
func (wc WorkClass) String() string {
	switch wc {
	case PromptClass:
		return "Prompt"
	case DeferrableClass:
		return "Deferrable"
	}
	return fmt.Sprintf("WorkClass(%d)", int(wc))
}

// ParseWorkClass reads the name that tickets and requests use.
func ParseWorkClass(txt string) (WorkClass, error) {
	switch txt {
	case "Prompt":
		return PromptClass, nil
	case "Deferrable":
		return DeferrableClass, nil
	}
	return 0, fmt.Errorf("work class %q is not one of Prompt, Deferrable", txt)
}
