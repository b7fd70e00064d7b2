package bwplace

import (
	"time"

	"bilberrywick/core/bwmodel"
)

// Input is what a plan is made from.
type Input struct {
	Now     time.Time
	Models  []Model
	Engines []Engine
	// Roles are the wanted shares of the engines; empty leaves roles alone.
	Roles []RoleShare
}

// Model is a model with the demand for it.
type Model struct {
	Name string
	// Base names the model that an adapter extends; empty for a model of its
	// own. An adapter is loaded only beside its base and takes no place.
	Base string
	// Demand is the tokens per second that callers ask for, refused work included.
	Demand float64
	// Bytes is the size of the weights.
	Bytes int64
	// MinEngines is the number of engines that hold the model without any demand.
	MinEngines int
}

// Engine is a model engine as it reported itself.
type Engine struct {
	Upstream bwmodel.UpstreamID
	Zone     bwmodel.ZoneID
	Loaded   []string
	Role     string
	// ModelCapacity is the number of models that the engine holds at a time; 0 means 1.
	ModelCapacity int
	// TokensPerSecond is the tokens per second of the whole engine when it is full.
	TokensPerSecond float64
	// Usable says that the engine is connected and neither leaving nor draining.
	Usable bool
}

// RoleShare is the part of the engines that should have a role.
type RoleShare struct {
	Role  string
	Share float64
}

// Order tells one engine to change.
type Order struct {
	Upstream bwmodel.UpstreamID
	// Load and Unload name models; Unload makes place for Load.
	Load   string
	Unload string
	Role   string
	Reason Reason
}

// Reason says why an order is given, or why a wanted one is not.
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

// Decision describes the plan for one model, for one log line.
type Decision struct {
	Model string
	// Demand is the smoothed demand in tokens per second.
	Demand float64
	// Engines is the number that hold the model or have been told to load it.
	Engines int
	Wanted  int
	// Chosen is empty when no order was given.
	Chosen bwmodel.UpstreamID
	Reason Reason
}
