package bwspread_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	"bilberrywick/core/bwmodel"
	"bilberrywick/core/bwspread"
)

// testFleet has the gateways of a fleet with a number in each zone.
type testFleet []bwspread.Gateway

func newTestFleet(sizes ...int) testFleet {
	var flt testFleet
	for zone, size := range sizes {
		for range size {
			addr := netip.AddrFrom4([4]byte{10, byte(zone), byte(len(flt) >> 8), byte(len(flt))})
			flt = append(flt, bwspread.Gateway{Zone: bwmodel.ZoneID(fmt.Sprint(zone)), Address: netip.AddrPortFrom(addr, 7340)})
		}
	}
	return flt
}

// view returns the fleet as one of its gateways sees it.
func (flt testFleet) view(self bwspread.Gateway) *bwspread.Fleet {
	others := slices.DeleteFunc(slices.Clone(flt), func(gw bwspread.Gateway) bool { return gw == self })
	return bwspread.NewFleet(self.Zone, others)
}

// deliver counts the datagrams that each gateway gets from a sender, and those
// that cross zones.
func (flt testFleet) deliver(self bwspread.Gateway, rcp bwspread.Recipients) (received map[netip.AddrPort]int, crossed int) {
	received = make(map[netip.AddrPort]int)
	find := func(addr netip.AddrPort) bwspread.Gateway {
		return flt[slices.IndexFunc(flt, func(gw bwspread.Gateway) bool { return gw.Address == addr })]
	}
	count := func(addr netip.AddrPort) bwspread.Gateway {
		gw := find(addr)
		received[addr]++
		if gw.Zone != self.Zone {
			crossed++
		}
		return gw
	}
	for _, addr := range rcp.Direct {
		count(addr)
	}
	for _, addr := range rcp.Relays {
		for _, neighbor := range flt.view(count(addr)).Neighbors() {
			received[neighbor]++
		}
	}
	return received, crossed
}

// Guards against gateways that an update doesn't reach or reaches twice, and
// against datagrams between zones that grow with the number of gateways.
func TestAllReachesEveryGatewayOnce(t *testing.T) {
	for _, sizes := range [][]int{{1}, {5}, {2, 1, 1, 1}, {4, 5, 6}, {17, 17, 18, 15, 16, 20}, slices.Repeat([]int{59}, 17)} {
		flt := newTestFleet(sizes...)
		self := flt[0]
		received, crossed := flt.deliver(self, flt.view(self).All())
		if len(received) != len(flt)-1 {
			t.Errorf("zones of %v: %d gateways reached, want %d", sizes, len(received), len(flt)-1)
		}
		for addr, count := range received {
			if count != 1 {
				t.Errorf("zones of %v: %v got %d datagrams", sizes, addr, count)
			}
		}
		if most := 3 * (len(sizes) - 1); crossed > most {
			t.Errorf("zones of %v: %d datagrams between zones, want at most %d", sizes, crossed, most)
		}
	}
}

// Guards against notes that grow with the square of a large fleet, and against
// gateways that never get any.
func TestSomeIsLimited(t *testing.T) {
	const limit = 128
	flt := newTestFleet(slices.Repeat([]int{59}, 17)...)
	self := flt[0]
	reached := make(map[netip.AddrPort]bool)
	for range 400 {
		received, _ := flt.deliver(self, flt.view(self).Some(limit))
		if len(received) > limit {
			t.Fatalf("%d gateways reached, want at most %d", len(received), limit)
		}
		for addr := range received {
			reached[addr] = true
		}
	}
	if len(reached) != len(flt)-1 {
		t.Errorf("%d gateways get notes, want %d", len(reached), len(flt)-1)
	}
	large := newTestFleet(17, 17, 18, 15, 16, 20)
	if got, _ := large.deliver(large[0], large.view(large[0]).Some(limit)); len(got) != len(large)-1 {
		t.Errorf("%d of %d gateways reached, want all but the sender", len(got), len(large))
	}
	one := newTestFleet(300)
	if got, _ := one.deliver(one[0], one.view(one[0]).Some(limit)); len(got) != limit/2 {
		t.Errorf("%d gateways of one zone reached, want %d", len(got), limit/2)
	}
}

// Guards against loans that are requested from the same gateways each time, and
// from those of the own zone, which need their budgets at the same time, first.
func TestLenders(t *testing.T) {
	flt := newTestFleet(17, 17, 18)
	self := flt[0]
	first := make(map[netip.AddrPort]bool)
	for range 200 {
		seen := make(map[netip.AddrPort]bool)
		for ix, group := range flt.view(self).Lenders() {
			for _, addr := range group {
				if seen[addr] {
					t.Fatalf("%v is asked twice", addr)
				}
				seen[addr] = true
				if ix == 0 {
					first[addr] = true
				}
			}
		}
		if len(seen) != len(flt)-1 {
			t.Fatalf("%d gateways are asked, want %d", len(seen), len(flt)-1)
		}
	}
	if len(first) != 17+18 {
		t.Errorf("%d gateways are asked first, want those of the other zones", len(first))
	}
	if got := flt[:1].view(self).Lenders(); got != nil {
		t.Errorf("a single gateway asks %v", got)
	}
}

// Replays a fleet whose pauses all begin at the same moment, at 5 to 1,000
// gateways. Guards against reads that grow with the number of gateways, and
// against a table that nobody reads for longer than the pause.
func TestPausesThatBeginTogether(t *testing.T) {
	const (
		longest = time.Second
		// latency is the time from the start of a read until the others know of it.
		latency = 15 * time.Millisecond
		rounds  = 400
		most    = 2.0
	)
	rng := rand.New(rand.NewPCG(3, 4))
	tmr := bwspread.Timer{Longest: longest, Random: rng.Float64}
	for _, gateways := range []int{5, 23, 103, 1000} {
		reads := 0
		for range rounds {
			pauses := make([]time.Duration, gateways)
			for ix := range pauses {
				pauses[ix] = tmr.Next(gateways)
			}
			first := slices.Min(pauses)
			if first > longest || first < longest/2 {
				t.Fatalf("%d gateways: the first read is after %v", gateways, first)
			}
			for _, pause := range pauses {
				if pause <= first+latency {
					reads++
				}
			}
		}
		if got := float64(reads) / rounds; got > most {
			t.Errorf("%d gateways: %.2f reads in each interval, want at most %v", gateways, got, most)
		}
	}
}
