package bwcapacity

import (
	"fmt"
	"net/netip"
	"time"

	"bilberrywick/core/bwmember"
	"bilberrywick/core/bwmodel"
	"bilberrywick/io/bwrpc"
	"bilberrywick/io/bwwire"
)

// Names of the slopes of messages.
const (
	StatusBytes    = "StatusBytes"
	StatusTime     = "StatusTime"
	ExchangeBytes  = "ExchangeBytes"
	ExchangeTime   = "ExchangeTime"
	GenerateBytes  = "GenerateBytes"
	GenerateTime   = "GenerateTime"
	AppendBytes    = "AppendBytes"
	AppendTime     = "AppendTime"
	TicketBytes    = "TicketBytes"
	TicketTime     = "TicketTime"
	tokenTextBytes = 4
)

// messageSlopes measures the encoded size of the system's messages and the CPU
// time to encode and decode them.
func messageSlopes() ([]Slope, error) {
	cod, err := bwrpc.NewCodec()
	if err != nil {
		return nil, err
	}
	cases := []struct {
		bytes, time, size string
		sizes             []int
		message           func(count int) any
		empty             func() any
	}{
		{StatusBytes, StatusTime, "cache events", []int{0, 8, 64, 256}, statusEvent, func() any { return new(bwwire.AgentStatusEvent) }},
		{ExchangeBytes, ExchangeTime, "changed members", []int{1, 16, 64, 256}, exchangeMessage, func() any { return new(bwwire.ExchangeMessage) }},
		{GenerateBytes, GenerateTime, "tokens", []int{1, 4, 16, 64}, generateEvent, func() any { return new(bwwire.GenerateEvent) }},
		{AppendBytes, AppendTime, "appends", []int{1, 8, 64, 256}, appendBatch, func() any { return new(bwwire.AppendBatch) }},
		{TicketBytes, TicketTime, "upstreams", []int{1, 8, 64, 256}, ticketDocument, func() any { return new(bwwire.TicketDocument) }},
	}
	var slopes []Slope
	for _, cas := range cases {
		size, err := MeasureSlope(cas.bytes, cas.size, Bytes, cas.sizes, func(count int) float64 {
			buf, err := cod.Marshal(cas.message(count))
			if err != nil {
				return 0
			}
			return float64(len(buf))
		})
		if err != nil {
			return nil, err
		}
		cpuTime, err := MeasureSlope(cas.time, cas.size, Nanoseconds, cas.sizes, func(count int) float64 {
			return roundTrip(cod, cas.message(count), cas.empty)
		})
		if err != nil {
			return nil, err
		}
		slopes = append(slopes, size, cpuTime)
	}
	return slopes, nil
}

// roundTrip returns the time to encode and decode a message once.
func roundTrip(cod *bwrpc.Codec, msg any, empty func() any) float64 {
	return timePerCall(func() {
		buf, err := cod.Marshal(msg)
		if err != nil {
			return
		}
		// Decoding can't fail for a message that the same codec has encoded; an
		// early error would make the measured time too short.
		_ = cod.Unmarshal(buf, empty())
	})
}

// statusEvent returns a status event with a changed load, as in most reports of a
// busy engine, and count cache events.
func statusEvent(count int) any {
	load := bwmodel.LoadReport{Age: time.Second, Running: 12, Waiting: 3, Slots: 16, TokenRate: 21.7, Models: []string{"pisar"}, QueuedTokens: 5000}
	var events []bwmodel.CacheEvent
	for ix := range count {
		events = append(events, bwmodel.CacheEvent{Sequence: uint64(1_000_000 + ix), Block: uint64(ix+1) * 0x9e3779b97f4a7c15})
	}
	return &bwwire.AgentStatusEvent{
		StateNumber: 123456,
		Clock:       90 * time.Minute,
		Load:        bwwire.NewLoadMessage(load),
		Cache:       bwwire.NewCacheRuns(events),
	}
}

func exchangeMessage(count int) any {
	msg := &bwwire.ExchangeMessage{From: memberRecord(0), Head: 123456, Ready: true, Region: 1 << 60, World: 1 << 61}
	for ix := range count {
		msg.Changes = append(msg.Changes, memberRecord(ix))
	}
	return msg
}

func memberRecord(ix int) bwwire.MemberRecord {
	return bwwire.NewMemberRecord(bwmember.Record{Member: member(ix), State: bwmember.Suspect, Age: 700 * time.Millisecond})
}

func generateEvent(count int) any {
	return &bwwire.GenerateEvent{Attempt: 1, Position: 464, Tokens: tokens(count), StateNumber: 123456}
}

func appendBatch(count int) any {
	batch := &bwwire.AppendBatch{}
	for ix := range count {
		rid := bwmodel.RequestID{byte(ix), byte(ix >> 8)}
		batch.Appends = append(batch.Appends, bwwire.RecordAppend{Request: rid, Epoch: 1, Position: 464, Tokens: tokens(1), Attempt: 1})
	}
	return batch
}

func ticketDocument(count int) any {
	doc := &bwwire.TicketDocument{Number: 123456}
	for ix := range count {
		doc.Upstreams = append(doc.Upstreams, bwwire.UpstreamDocument{
			Name:    bwmodel.UpstreamID(fmt.Sprintf("pisar-model-%04d", ix)),
			Service: "pisar-model",
			Region:  "sk-stred",
			Zone:    "brezno",
			Agent:   member(ix).Address,
			Slots:   16,
		})
	}
	return doc
}

func member(index int) bwmodel.Member {
	return bwmodel.Member{
		ID:          bwmodel.MemberID(fmt.Sprintf("router-%04d", index)),
		Incarnation: 0x1234567890abcdef,
		Role:        bwmodel.RouterRole,
		Region:      "sk-stred",
		Zone:        "brezno",
		Address:     netip.AddrPortFrom(netip.AddrFrom4([4]byte{192, 0, 2, byte(index)}), 7000),
	}
}

func tokens(count int) []bwmodel.Token {
	toks := make([]bwmodel.Token, count)
	for ix := range toks {
		toks[ix] = bwmodel.Token{ID: bwmodel.TokenID(30_000 + ix), Bytes: []byte("slov")[:tokenTextBytes]}
	}
	return toks
}
