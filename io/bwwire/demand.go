package bwwire

import (
	"time"

	"bilberrywick/core/bwmodel"
)

// DemandReport is what a router tells the candidates for a service's placement
// in its region, every 10 s. Models are named by their index in the ticket's
// service and fields have short keys, since a candidate hears 167 routers within
// a budget of 9 KB a second.
type DemandReport struct {
	From    bwmodel.MemberID  `cbor:"1,keyasint"`
	Service bwmodel.ServiceID `cbor:"2,keyasint"`
	// SetBy is the ticket whose list of models the indexes refer to.
	SetBy bwmodel.TicketNumber `cbor:"3,keyasint"`
	// Rates are the tokens per second asked for of each model, refused work included.
	Rates   []float32      `cbor:"4,keyasint,omitempty"`
	Engines []EngineReport `cbor:"5,keyasint,omitempty"`
}

// EngineReport is what a router knows of an engine that it follows.
type EngineReport struct {
	_           struct{} `cbor:",toarray"`
	Upstream    bwmodel.UpstreamID
	Incarnation bwmodel.Incarnation
	// Age is the time since the engine's agent reported.
	Age time.Duration
	// Rate is the tokens per second of the whole engine when it is full.
	Rate float32
	// Models are the indexes of those that the engine has loaded.
	Models []int
	Usable bool
}

// DemandResponse answers a DemandReport.
type DemandResponse struct{}
