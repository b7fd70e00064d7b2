package bwcapacity

import (
	"context"
	"crypto/sha256"
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"bilberrywick/core/bwadmit"
	"bilberrywick/core/bwmember"
	"bilberrywick/core/bwmodel"
	"bilberrywick/core/bwroute"
	"bilberrywick/core/bwstream"
	"bilberrywick/core/bwticket"
	"bilberrywick/io/bwhttp"
)

// Names of the slopes of decisions and state.
const (
	StateTeamBytes     = "StateTeamBytes"
	StateUpstreamBytes = "StateUpstreamBytes"
	ApplyTime          = "ApplyTime"
	KeyIndexTime       = "KeyIndexTime"
	ChooserBytes       = "ChooserBytes"
	ChooseTime         = "ChooseTime"
	ObserveTime        = "ObserveTime"
	RefreshTime        = "RefreshTime"
	RecordPrefixTime   = "RememberTime"
	QueueBytes         = "QueueBytes"
	AdmitTime          = "AdmitTime"
	DirectoryBytes     = "DirectoryBytes"
	EntriesTime        = "EntriesTime"
	HolderAppendTime   = "HoldTime"
)

var (
	teamSizes     = []int{100, 1000, 3100}
	upstreamSizes = []int{100, 1000, 3000}
	memberSizes   = []int{100, 1000, 4000}
	choiceSizes   = []int{20, 300, 3000}
)

// decisionSlopes measures the state and the decisions of a router.
func decisionSlopes() ([]Slope, error) {
	cases := []struct {
		name, size, unit string
		sizes            []int
		cost             func(int) float64
	}{
		{StateTeamBytes, "teams", Bytes, teamSizes, func(count int) float64 {
			return heapOf(func() any { return state(count, 0) })
		}},
		{StateUpstreamBytes, "upstreams", Bytes, upstreamSizes, func(count int) float64 {
			return heapOf(func() any { return state(0, count) })
		}},
		{ApplyTime, "teams", Nanoseconds, teamSizes, applyTime},
		{KeyIndexTime, "teams", Nanoseconds, teamSizes, func(count int) float64 {
			tms := teams(count)
			return timePer(func() { bwhttp.NewKeyIndex(tms) })
		}},
		{ChooserBytes, "upstreams", Bytes, []int{8, 32, 128}, func(count int) float64 {
			return heapOf(func() any { return chooser(count) })
		}},
		{ChooseTime, "upstreams", Nanoseconds, choiceSizes, chooseTime},
		{ObserveTime, "upstreams", Nanoseconds, choiceSizes, observeTime},
		{RefreshTime, "upstreams", Nanoseconds, choiceSizes, func(count int) float64 { return timePer(chooser(count).Refresh) }},
		{RecordPrefixTime, "blocks", Nanoseconds, []int{8, 32, 128}, rememberTime},
		{QueueBytes, "teams", Bytes, teamSizes, func(count int) float64 {
			return heapOf(func() any { return queue(count) })
		}},
		{AdmitTime, "teams", Nanoseconds, teamSizes, admitTime},
		{DirectoryBytes, "members", Bytes, memberSizes, func(count int) float64 {
			return heapOf(func() any { return directory(count) })
		}},
		{EntriesTime, "members", Nanoseconds, memberSizes, func(count int) float64 {
			dir := directory(count)
			return timePer(func() { dir.Entries() })
		}},
		{HolderAppendTime, "records", Nanoseconds, []int{10, 300, 3000}, holdTime},
	}
	var slopes []Slope
	for _, cas := range cases {
		slp, err := MeasureSlope(cas.name, cas.size, cas.unit, cas.sizes, cas.cost)
		if err != nil {
			return nil, err
		}
		slopes = append(slopes, slp)
	}
	return slopes, nil
}

func teams(count int) []bwmodel.Team {
	tms := make([]bwmodel.Team, count)
	for ix := range tms {
		name := fmt.Sprintf("team-%04d", ix)
		tms[ix] = bwmodel.Team{
			Name:   bwmodel.TeamID(name),
			Keys:   []bwmodel.TeamKey{{Hash: sha256.Sum256([]byte(name))}},
			Weight: 1,
		}
	}
	return tms
}

func upstreams(count int) []bwmodel.Upstream {
	ups := make([]bwmodel.Upstream, count)
	for ix := range ups {
		ups[ix] = bwmodel.Upstream{
			Name:    bwmodel.UpstreamID(fmt.Sprintf("pisar-model-%04d", ix)),
			Service: "pisar-model",
			Region:  "sk-stred",
			Zone:    bwmodel.ZoneID(fmt.Sprintf("zone-%d", ix%3)),
			Agent:   member(ix).Address,
			Slots:   16,
		}
	}
	return ups
}

func state(teamCount, upstreamCount int) *bwticket.State {
	cfg := bwticket.StateConfig{
		Number:   1,
		Services: []bwticket.Entry[bwmodel.Service]{{SetBy: 1, Object: bwmodel.Service{Name: "pisar-model", Kind: bwmodel.ModelService}}},
	}
	for _, team := range teams(teamCount) {
		cfg.Teams = append(cfg.Teams, bwticket.Entry[bwmodel.Team]{SetBy: 1, Object: team})
	}
	for _, ups := range upstreams(upstreamCount) {
		cfg.Upstreams = append(cfg.Upstreams, bwticket.Entry[bwmodel.Upstream]{SetBy: 1, Object: ups})
	}
	return bwticket.NewState(cfg)
}

// applyTime is the time to apply a ticket that changes one team.
func applyTime(count int) float64 {
	before := state(count, count)
	acc := bwticket.AcceptedTicket{
		Ticket:   bwticket.Ticket{Number: 2, Teams: teams(1)},
		Previous: 1,
	}
	return timePer(func() {
		if _, err := before.Apply(acc); err != nil {
			panic(err)
		}
	})
}

func chooser(count int) *bwroute.Chooser {
	chs, err := bwroute.New(bwroute.Config{Service: "pisar-model", Zone: "zone-0", Now: time.Now, Seed: 1})
	if err != nil {
		panic(err)
	}
	ups := upstreams(count)
	chs.Update(ups)
	for _, up := range ups {
		chs.Observe(connected(up))
	}
	return chs
}

func connected(up bwmodel.Upstream) bwroute.UpstreamStatus {
	load := bwmodel.LoadReport{Running: 4, Slots: 16, TokenRate: 21.7, QueuedTokens: 1000}
	return bwroute.UpstreamStatus{Upstream: up.Name, Incarnation: 1, Connected: true, Load: load}
}

func chooseTime(count int) float64 {
	chs := chooser(count)
	req := bwroute.Request{ID: bwmodel.RequestID{1}, Service: "pisar-model", Team: "team-0001", Tokens: 200}
	return timePer(func() {
		choice, _, err := chs.Choose(req)
		if err != nil {
			panic(err)
		}
		choice.Finish(bwroute.Outcome{FirstToken: time.Millisecond, Elapsed: time.Second, Tokens: 200})
	})
}

func observeTime(count int) float64 {
	chs := chooser(count)
	status := connected(upstreams(1)[0])
	return timePer(func() { chs.Observe(status) })
}

// rememberTime is the time to note a prefix of a number of blocks.
func rememberTime(count int) float64 {
	chs := chooser(1)
	prefix := make([]uint64, count)
	for ix := range prefix {
		prefix[ix] = uint64(ix+1) * 0x9e3779b97f4a7c15
	}
	return timePer(func() { chs.RecordPrefix("pisar-model-0000", prefix) })
}

func queue(count int) *bwadmit.Queue {
	que, err := bwadmit.New(bwadmit.Config{
		Service:  bwmodel.Service{Name: "pisar-model", Class: bwmodel.PromptClass, QueueLimit: 1000},
		Now:      time.Now,
		Capacity: func() int { return 1000 },
	})
	if err != nil {
		panic(err)
	}
	que.Update(bwmodel.Service{Name: "pisar-model", Class: bwmodel.PromptClass, QueueLimit: 1000}, teams(count))
	return que
}

func admitTime(count int) float64 {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	que := queue(count)
	que.Start(ctx)
	tms := teams(count)
	var turn atomic.Int64
	return timePer(func() {
		name := tms[turn.Add(1)%int64(count)].Name
		grant, err := que.Admit(ctx, bwadmit.Request{Service: "pisar-model", Team: name, Class: bwmodel.PromptClass, Tokens: 200})
		if err != nil {
			panic(errors.Join(errAdmit, err))
		}
		grant.Finish(200)
	})
}

var errAdmit = errors.New("measured request was not admitted")

func directory(count int) *bwmember.Directory {
	dir := bwmember.NewDirectory(bwmember.Config{Self: member(0), Now: time.Now})
	for ix := 1; ix < count; ix++ {
		dir.RecordContact(member(ix), 0)
	}
	return dir
}

// holdTime is the time that a holder takes to append one token to one of the
// records that it holds.
func holdTime(count int) float64 {
	store := bwstream.NewRecordStore(bwstream.RecordStoreConfig{Now: time.Now, MaxBytes: 1 << 30})
	positions := make([]bwmodel.Position, count)
	for ix := range count {
		id := recordID(ix)
		store.Append(bwstream.Append{Request: id, Epoch: 1, Record: &bwmodel.GenerationRecord{Request: id, Epoch: 1}})
	}
	turn := 0
	return timePer(func() {
		ix := turn % count
		turn++
		ack := store.Append(bwstream.Append{Request: recordID(ix), Epoch: 1, Position: positions[ix], Tokens: tokens(1)})
		positions[ix] = ack.Position
	})
}

func recordID(index int) bwmodel.RequestID {
	return bwmodel.RequestID{byte(index), byte(index >> 8), 1}
}
