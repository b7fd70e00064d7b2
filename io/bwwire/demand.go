package bwwire

import (
	"time"

	"bilberrywick/core/bwmodel"
)

// DemandReport is sent by a router every 10 s to the candidates for a service's
// placement in its region. Models are identified by their index in the ticket's
// service and fields have short keys, since a candidate receives the reports of
// 167 routers within a budget of 9 KB/s.
type DemandReport struct {
	From    bwmodel.MemberID  `cbor:"1,keyasint"`
	Service bwmodel.ServiceID `cbor:"2,keyasint"`
	// SetBy is the number of the ticket whose list of models the indexes refer to.
	SetBy bwmodel.TicketNumber `cbor:"3,keyasint"`
	// Rates are the requested tokens per second of each model, including refused work.
	Rates   []float32      `cbor:"4,keyasint,omitempty"`
	Engines []EngineReport `cbor:"5,keyasint,omitempty"`
}

// EngineReport describes an engine whose agent sends its status to the router.
type EngineReport struct {
	_           struct{} `cbor:",toarray"`
	Upstream    bwmodel.UpstreamID
	Incarnation bwmodel.Incarnation
	// Age is the time since the last report of the engine's agent.
	Age time.Duration
	// Rate is the tokens per second of the whole engine under full load.
	Rate float32
	// Models are the indexes of the models that the engine has loaded.
	Models []int
	Usable bool
}

// DemandResponse acknowledges a DemandReport.
type DemandResponse struct{}
