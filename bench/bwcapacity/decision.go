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

// Names of the slopes of a router's state and decisions.
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

// decisionSlopes measures the memory of a router's state and the time of its
// decisions.
func decisionSlopes() ([]Slope, error) {
	cases := []struct {
		name, size, unit string
		sizes            []int
		cost             func(int) float64
	}{
		{StateTeamBytes, "teams", Bytes, teamSizes, func(count int) float64 {
			return heapBytes(func() any { return newState(count, 0) })
		}},
		{StateUpstreamBytes, "upstreams", Bytes, upstreamSizes, func(count int) float64 {
			return heapBytes(func() any { return newState(0, count) })
		}},
		{ApplyTime, "teams", Nanoseconds, teamSizes, applyTime},
		{KeyIndexTime, "teams", Nanoseconds, teamSizes, func(count int) float64 {
			tms := teams(count)
			return timePerCall(func() { bwhttp.NewKeyIndex(tms) })
		}},
		{ChooserBytes, "upstreams", Bytes, []int{8, 32, 128}, func(count int) float64 {
			return heapBytes(func() any { return newChooser(count) })
		}},
		{ChooseTime, "upstreams", Nanoseconds, choiceSizes, chooseTime},
		{ObserveTime, "upstreams", Nanoseconds, choiceSizes, observeTime},
		{RefreshTime, "upstreams", Nanoseconds, choiceSizes, func(count int) float64 { return timePerCall(newChooser(count).Refresh) }},
		{RecordPrefixTime, "blocks", Nanoseconds, []int{8, 32, 128}, recordPrefixTime},
		{QueueBytes, "teams", Bytes, teamSizes, func(count int) float64 {
			return heapBytes(func() any { return newQueue(count) })
		}},
		{AdmitTime, "teams", Nanoseconds, teamSizes, admitTime},
		{DirectoryBytes, "members", Bytes, memberSizes, func(count int) float64 {
			return heapBytes(func() any { return newDirectory(count) })
		}},
		{EntriesTime, "members", Nanoseconds, memberSizes, func(count int) float64 {
			dir := newDirectory(count)
			return timePerCall(func() { dir.Entries() })
		}},
		{HolderAppendTime, "records", Nanoseconds, []int{10, 300, 3000}, holderAppendTime},
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

func newState(teamCount, upstreamCount int) *bwticket.State {
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

// applyTime returns the time to apply a ticket that changes one team.
func applyTime(count int) float64 {
	before := newState(count, count)
	acc := bwticket.AcceptedTicket{
		Ticket:   bwticket.Ticket{Number: 2, Teams: teams(1)},
		Previous: 1,
	}
	return timePerCall(func() {
		if _, err := before.Apply(acc); err != nil {
			panic(err)
		}
	})
}

func newChooser(count int) *bwroute.Chooser {
	chs, err := bwroute.New(bwroute.Config{Service: "pisar-model", Zone: "zone-0", Now: time.Now, Seed: 1})
	if err != nil {
		panic(err)
	}
	ups := upstreams(count)
	chs.Update(ups)
	for _, up := range ups {
		chs.Observe(connectedStatus(up))
	}
	return chs
}

func connectedStatus(up bwmodel.Upstream) bwroute.UpstreamStatus {
	load := bwmodel.LoadReport{Running: 4, Slots: 16, TokenRate: 21.7, QueuedTokens: 1000}
	return bwroute.UpstreamStatus{Upstream: up.Name, Incarnation: 1, Connected: true, Load: load}
}

func chooseTime(count int) float64 {
	chs := newChooser(count)
	req := bwroute.Request{ID: bwmodel.RequestID{1}, Service: "pisar-model", Team: "team-0001", Tokens: 200}
	return timePerCall(func() {
		choice, _, err := chs.Choose(req)
		if err != nil {
			panic(err)
		}
		choice.Finish(bwroute.Outcome{FirstToken: time.Millisecond, Elapsed: time.Second, Tokens: 200})
	})
}

func observeTime(count int) float64 {
	chs := newChooser(count)
	status := connectedStatus(upstreams(1)[0])
	return timePerCall(func() { chs.Observe(status) })
}

// recordPrefixTime returns the time to record a prefix of count blocks.
func recordPrefixTime(count int) float64 {
	chs := newChooser(1)
	prefix := make([]uint64, count)
	for ix := range prefix {
		prefix[ix] = uint64(ix+1) * 0x9e3779b97f4a7c15
	}
	return timePerCall(func() { chs.RecordPrefix("pisar-model-0000", prefix) })
}

func newQueue(count int) *bwadmit.Queue {
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
	que := newQueue(count)
	que.Start(ctx)
	tms := teams(count)
	var sequence atomic.Int64
	return timePerCall(func() {
		name := tms[sequence.Add(1)%int64(count)].Name
		grant, err := que.Admit(ctx, bwadmit.Request{Service: "pisar-model", Team: name, Class: bwmodel.PromptClass, Tokens: 200})
		if err != nil {
			panic(errors.Join(errNotAdmitted, err))
		}
		grant.Finish(200)
	})
}

var errNotAdmitted = errors.New("the measured request was not admitted")

func newDirectory(count int) *bwmember.Directory {
	dir := bwmember.NewDirectory(bwmember.Config{Self: member(0), Now: time.Now})
	for ix := 1; ix < count; ix++ {
		dir.RecordContact(member(ix), 0)
	}
	return dir
}

// holderAppendTime returns the time that a holder needs to append one token to one
// of count records.
func holderAppendTime(count int) float64 {
	store := bwstream.NewRecordStore(bwstream.RecordStoreConfig{Now: time.Now, MaxBytes: 1 << 30})
	positions := make([]bwmodel.Position, count)
	for ix := range count {
		id := recordID(ix)
		store.Append(bwstream.Append{Request: id, Epoch: 1, Record: &bwmodel.GenerationRecord{Request: id, Epoch: 1}})
	}
	sequence := 0
	return timePerCall(func() {
		ix := sequence % count
		sequence++
		ack := store.Append(bwstream.Append{Request: recordID(ix), Epoch: 1, Position: positions[ix], Tokens: tokens(1)})
		positions[ix] = ack.Position
	})
}

func recordID(index int) bwmodel.RequestID {
	return bwmodel.RequestID{byte(index), byte(index >> 8), 1}
}
