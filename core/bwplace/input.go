package bwplace

import (
	"time"

	"bilberrywick/core/bwmodel"
)

// Input holds the models, engines and roles that a plan is computed from.
type Input struct {
	Now     time.Time
	Models  []Model
	Engines []Engine
	// Roles holds the wanted share of engines for each role; empty changes no roles.
	Roles []RoleShare
}

// Model describes a model and its demand.
type Model struct {
	Name string
	// Base is the name of the model that an adapter extends; empty for a base
	// model. An adapter is loaded only on engines that hold its base, and does not
	// count against ModelCapacity.
	Base string
	// Demand is the tokens per second that callers request, including refused
	// requests.
	Demand float64
	// Bytes is the size of the weights in bytes.
	Bytes int64
	// MinEngines is the least number of engines that hold the model, also without
	// demand.
	MinEngines int
}

// Engine describes a model engine by its last report.
type Engine struct {
	Upstream bwmodel.UpstreamID
	Zone     bwmodel.ZoneID
	Loaded   []string
	Role     string
	// ModelCapacity is the number of base models that the engine can hold at a
	// time; 0 means 1.
	ModelCapacity int
	// TokensPerSecond is the throughput of the whole engine at full load.
	TokensPerSecond float64
	// Usable is true when the engine is connected and neither leaving nor draining.
	Usable bool
}

// RoleShare is the fraction of the engines that should have a role.
type RoleShare struct {
	Role  string
	Share float64
}

// Order is an instruction to one engine to load or unload models or to change its role.
type Order struct {
	Upstream bwmodel.UpstreamID
	// Load and Unload are names of models; Unload makes room for Load.
	Load   string
	Unload string
	Role   string
	Reason Reason
}

// Reason is the reason for an order, or for a wanted order that is not issued.
type Reason string

// Reasons of a decision.
const (
	ReasonDemand     Reason = "demand exceeds the engines that hold the model"
	ReasonMinimum    Reason = "fewer engines than the minimum hold the model"
	ReasonRole       Reason = "role below its share"
	ReasonNoPayback  Reason = "expected use does not pay back the load time"
	ReasonWeightRate Reason = "weight store rate used up"
	ReasonNoEngine   Reason = "no engine may change now"
)

// Decision describes one planning decision for a model, for one log line.
type Decision struct {
	Model string
	// Demand is the smoothed demand in tokens per second.
	Demand float64
	// Engines is the number of engines that hold the model or have an order to load
	// it.
	Engines int
	Wanted  int
	// Chosen is empty when no order was issued.
	Chosen bwmodel.UpstreamID
	Reason Reason
}
