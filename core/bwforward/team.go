package bwforward

import (
	"sync"
	"time"

	"bilberrywick/core/bwmodel"
)

// teamStreams counts the streams that other gateways run for each team, by their notes.
// The zero value is empty.
//
// The load pattern that it answers is one team with many times its share at a crest. A
// team that is rare at each of many gateways would lose if each of them compared its own
// streams only: the gateways that have none of its streams fill the engines.
type teamStreams struct {
	mu      sync.Mutex
	streams map[bwmodel.TeamID]*expiring
}

// maxTeams bounds the teams that notes may name. It is above the number of teams of the
// largest deployment.
const maxTeams = 1024

func (tms *teamStreams) add(team bwmodel.TeamID, now time.Time) {
	tms.mu.Lock()
	defer tms.mu.Unlock()
	if tms.streams == nil {
		tms.streams = make(map[bwmodel.TeamID]*expiring)
	}
	xpr := tms.streams[team]
	if team == "" || xpr == nil && len(tms.streams) >= maxTeams {
		return
	}
	if xpr == nil {
		xpr = new(expiring)
		tms.streams[team] = xpr
	}
	xpr.add(now, now.Add(maxStreamTime), 0)
}

func (tms *teamStreams) remove(team bwmodel.TeamID, now time.Time) {
	tms.mu.Lock()
	defer tms.mu.Unlock()
	if xpr := tms.streams[team]; xpr != nil {
		xpr.remove(now, 0)
	}
}

// running returns the streams of a team, of all teams, and the number of other teams that
// have streams; own has those of this process.
func (tms *teamStreams) running(team bwmodel.TeamID, own map[bwmodel.TeamID]int, now time.Time) (streams, sum, others int) {
	tms.mu.Lock()
	defer tms.mu.Unlock()
	for name, count := range own {
		sum += count
		if xpr := tms.streams[name]; name != team && (xpr == nil || xpr.running(now) == 0) {
			others++
		}
	}
	streams = own[team]
	for name, xpr := range tms.streams {
		count := xpr.running(now)
		sum += count
		if name == team {
			streams += count
		} else if count > 0 {
			others++
		}
	}
	return streams, sum, others
}
