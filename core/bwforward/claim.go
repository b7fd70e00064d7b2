package bwforward

import (
	"math"
	"time"

	"bilberrywick/core/bwmodel"
)

// claims decides how often this gateway takes room that other gateways see as well.
//
// The load pattern that it answers is a crest at which many gateways have waiting
// streams. All see the same room of an engine at the same moment, and the notes of their
// placements arrive only after each of them has taken it. A gateway takes scarce room
// with a probability only, which it halves when others turn out to have taken the same.
type claims struct {
	probability float64
	// collisions is the number of collisions that the probability accounts for, at the
	// time of the last change.
	collisions int64
	at         time.Time
}

const (
	// collisionFactor and successFactor change the probability with each claim. They
	// settle where one of eight claims collides.
	collisionFactor = 0.5
	successFactor   = 1.1
	// claimRecovery is the time in which the probability doubles without claims.
	claimRecovery = 2 * time.Second
	// minClaim lets a stream that asks for as long as it may wait make a claim in a
	// fleet of a thousand gateways.
	minClaim = 0.01
	// scarceStreams is the number of streams of the same size for which an engine must
	// have room after a placement, so that several gateways may place one at a time.
	scarceStreams = 3
	// lowShare is the share from which a team's streams take scarce room at once, and
	// overShareClaim the factor of the probability for teams with more than their share.
	lowShare       = 0.9
	overShareClaim = 0.5
)

// claim reports whether a stream may take scarce room of a service's engines now, by the
// share of its team.
func (adm *Admission) claim(svc bwmodel.ServiceID, share float64, now time.Time) bool {
	state := adm.cfg.Pool.state(svc)
	collisions := state.collisions.Load()
	adm.mu.Lock()
	defer adm.mu.Unlock()
	clm := adm.claims[svc]
	if clm == nil {
		clm = &claims{probability: 1, at: now, collisions: collisions}
		adm.claims[svc] = clm
	}
	for ; clm.collisions < collisions; clm.collisions++ {
		clm.probability = max(clm.probability*collisionFactor, minClaim)
	}
	clm.probability = min(clm.probability*(1+now.Sub(clm.at).Seconds()/claimRecovery.Seconds()), 1)
	clm.at = now
	state.claim.Store(math.Float64bits(clm.probability))
	probability := clm.probability
	if share < lowShare {
		probability = 1
	} else if share > 1+shareTolerance {
		probability *= overShareClaim
	}
	if float64(adm.cfg.Random(time.Second)) >= probability*float64(time.Second) {
		return false
	}
	clm.probability = min(clm.probability*successFactor, 1)
	return true
}

// recordOwnPlacement and recordPeerPlacement find the placements of two gateways that did
// not know of each other's.
func (nd *Node) recordOwnPlacement(now time.Time) { nd.ownPlacedAt.Store(nanos(now)) }

func (pl *Pool) recordPeerPlacement(nd *Node, now time.Time) {
	if nanos(now)-nd.ownPlacedAt.Load() < int64(placementDelay) {
		pl.state(nd.Service).collisions.Add(1)
	}
}
