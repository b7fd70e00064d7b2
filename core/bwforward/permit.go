package bwforward

import (
	"math"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"bilberrywick/core/bwmodel"
)

const (
	// permitShare is the part of a limit that is granted. The rest is for requests
	// of gateways that don't know the limit yet, or hold a window twice.
	permitShare = 0.9
	// minPermitRate is the lowest rate, in requests a second, at which permits are
	// granted: without a response nobody learns that a limit has ended.
	minPermitRate = 0.1
	// maxPermitRate is above the rate of any upstream. A limit may be any number that is
	// written on the network.
	maxPermitRate = 1e6
	// minPermitWindow is the length of a window in which more than one request is
	// allowed. It is long against the time for a question, and short against the
	// four seconds over which the platform counts.
	minPermitWindow = 500 * time.Millisecond
	// permitClockSkew is the difference between two gateways' readings of the store's
	// clock up to which a window is granted.
	permitClockSkew = minPermitWindow
	// MinPermitBlock is the shortest time for which a gateway asks for no more permits of
	// an upstream after a refusal. The window may have ended already by the clock of the
	// gateway that refuses.
	MinPermitBlock = 20 * time.Millisecond
	// maxPermitWait bounds the time that a refused caller is told: limits end, and those
	// that were refused before don't all come back.
	maxPermitWait = 30 * time.Second
)

// PermitWindow is a time in which an upstream takes a number of requests.
type PermitWindow struct {
	Upstream bwmodel.UpstreamID
	// Start is the window's start on the store's monotonic clock.
	Start, Length time.Duration
	// Permits is the number of requests.
	Permits int
	// rate is the number of requests a second in the long run.
	rate float64
}

// NewPermitWindow returns the window at a time on the store's monotonic clock of an
// upstream that names a limit, in requests a second.
func NewPermitWindow(up bwmodel.UpstreamID, limit float64, clock time.Duration) PermitWindow {
	rate := min(max(limit*permitShare, minPermitRate), maxPermitRate)
	length := max(minPermitWindow, time.Duration(float64(time.Second)/rate))
	// The windows of different upstreams don't begin together.
	shift := time.Duration(xxhash.Sum64String(string(up)) % uint64(length))
	index := (clock + shift) / length
	perWindow := rate * length.Seconds()
	return PermitWindow{
		Upstream: up,
		Start:    index*length - shift,
		Length:   length,
		Permits:  max(int(math.Floor(float64(index+1)*perWindow)-math.Floor(float64(index)*perWindow)), 1),
		rate:     rate,
	}
}

// Left returns the time until the window's end.
func (pwn PermitWindow) Left(clock time.Duration) time.Duration {
	return pwn.Start + pwn.Length - clock
}

// mix spreads a change of any bit over all bits. It is the last step of SplitMix64.
func mix(val uint64) uint64 {
	val = (val ^ val>>30) * 0xbf58476d1ce4e5b9
	val = (val ^ val>>27) * 0x94d049bb133111eb
	return val ^ val>>31
}

// PermitAnswer is the answer to a request for a permit. Its field names are part of
// the datagram encoding.
type PermitAnswer struct {
	Granted bool
	// Blocked is the time until the end of the window, before which another request
	// for a permit is useless. Wait is the time until a permit can be expected, after
	// those that were refused before. Both are 0 if the permit is granted.
	Blocked, Wait time.Duration
}

// PermitLedger counts the permits of the windows that this gateway holds. It is safe
// for concurrent use. The zero value is empty.
type PermitLedger struct {
	mu      sync.Mutex
	windows map[permitWindowKey]*permitCount
}

type permitWindowKey struct {
	upstream bwmodel.UpstreamID
	start    time.Duration
}

type permitCount struct {
	granted, refused int
	end              time.Duration
}

// Take takes a permit of a window, at a time on the store's monotonic clock. It grants
// none of a window that is further away than clocks may differ.
func (pld *PermitLedger) Take(pwn PermitWindow, clock time.Duration) PermitAnswer {
	left := pwn.Left(clock)
	if left < -permitClockSkew || left > pwn.Length+permitClockSkew {
		return PermitAnswer{Blocked: minPermitWindow, Wait: minPermitWindow}
	}
	pld.mu.Lock()
	defer pld.mu.Unlock()
	cnt := pld.count(pwn, clock)
	if cnt.granted < pwn.Permits {
		cnt.granted++
		return PermitAnswer{Granted: true}
	}
	left = max(left, MinPermitBlock)
	ahead := time.Duration(float64(cnt.refused) / pwn.rate * float64(time.Second))
	cnt.refused++
	return PermitAnswer{Blocked: left, Wait: min(left+ahead, maxPermitWait)}
}

// count returns the count of a window, and drops those of past windows when it adds
// one.
func (pld *PermitLedger) count(pwn PermitWindow, clock time.Duration) *permitCount {
	key := permitWindowKey{pwn.Upstream, pwn.Start}
	if cnt := pld.windows[key]; cnt != nil {
		return cnt
	}
	if pld.windows == nil {
		pld.windows = make(map[permitWindowKey]*permitCount)
	}
	for old, cnt := range pld.windows {
		if clock-cnt.end > permitClockSkew {
			delete(pld.windows, old)
		}
	}
	cnt := &permitCount{end: pwn.Start + pwn.Length}
	pld.windows[key] = cnt
	return cnt
}
