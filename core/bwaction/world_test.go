package bwaction_test

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"bilberrywick/core/bwaction"
	"bilberrywick/core/bwmodel"
)

// world is a table, agents and a plain service with seeded faults, on the
// virtual clock of a synctest bubble.
type world struct {
	mu     sync.Mutex
	rng    *rand.Rand
	faults faults
	rows   map[bwaction.Key]bwaction.Row
	agents map[bwmodel.UpstreamID]*agent
	// executions holds the number of the execution of each run of a key.
	executions map[bwaction.Key][]int
	executed   int
	attempts   uint64
	tableDown  bool
	ended      bool
}

// faults are the shares of operations that go wrong.
type faults struct {
	tableFails, tableUnsure float64
	messageLost             float64
	messageLate             float64
	replyLost               float64
	appDiesBefore           float64
	appDiesAfter            float64
	appUnreachable          float64
	// pause is the longest stop of a router between two steps.
	pause time.Duration
	// restart is the mean time between restarts of an agent; 0 means never.
	restart time.Duration
	// outage is the mean time between outages of the table; 0 means never.
	outage time.Duration
}

type agent struct {
	wld    *world
	ledger *bwaction.Ledger
	inc    bwmodel.Incarnation
}

var errLost = errors.New("connection lost")

func newWorld(seed uint64, flt faults, agents int) *world {
	wld := &world{
		rng:        rand.New(rand.NewPCG(seed, seed)),
		faults:     flt,
		rows:       make(map[bwaction.Key]bwaction.Row),
		agents:     make(map[bwmodel.UpstreamID]*agent),
		executions: make(map[bwaction.Key][]int),
	}
	for ix := range agents {
		agt := &agent{wld: wld}
		agt.restart()
		wld.agents[bwmodel.UpstreamID(fmt.Sprintf("u%d", ix))] = agt
	}
	return wld
}

func (agt *agent) restart() {
	agt.inc++
	agt.ledger = bwaction.NewLedger(bwaction.LedgerConfig{
		Incarnation: agt.inc,
		Now:         time.Now,
		Retention:   2 * time.Second,
		MaxEntries:  4,
	})
}

func (wld *world) coordinator() *bwaction.Coordinator {
	return bwaction.NewCoordinator(bwaction.CoordinatorConfig{
		Read:          wld.read,
		Insert:        wld.insert,
		Swap:          wld.swap,
		Choose:        wld.choose,
		Dispatch:      wld.dispatch,
		Settle:        wld.settle,
		Now:           time.Now,
		NewAttempt:    wld.newAttempt,
		Lifetime:      time.Second,
		SettleTimeout: time.Second,
		RunTimeout:    10 * time.Second,
	})
}

func (wld *world) chance(share float64) bool {
	wld.mu.Lock()
	defer wld.mu.Unlock()
	return !wld.ended && wld.rng.Float64() < share
}

func (wld *world) wait(most time.Duration) {
	if most <= 0 {
		return
	}
	wld.mu.Lock()
	dur := time.Duration(wld.rng.Int64N(int64(most)))
	wld.mu.Unlock()
	time.Sleep(dur)
}

func (wld *world) newAttempt() bwmodel.RequestID {
	wld.mu.Lock()
	defer wld.mu.Unlock()
	wld.attempts++
	var rid bwmodel.RequestID
	binary.BigEndian.PutUint64(rid[:], wld.attempts)
	return rid
}

func (wld *world) read(_ context.Context, key bwaction.Key) (bwaction.Row, bool, error) {
	wld.wait(5 * time.Millisecond)
	if wld.chance(wld.faults.tableFails) {
		return bwaction.Row{}, false, bwaction.ErrUnavailable
	}
	wld.mu.Lock()
	if wld.tableDown && !wld.ended {
		wld.mu.Unlock()
		return bwaction.Row{}, false, bwaction.ErrUnavailable
	}
	row, ok := wld.rows[key]
	wld.mu.Unlock()
	wld.wait(wld.faults.pause)
	return row, ok, nil
}

func (wld *world) insert(_ context.Context, row bwaction.Row) error {
	return wld.write(bwaction.Write{Row: row})
}

func (wld *world) swap(_ context.Context, exp bwaction.RowVersion, row bwaction.Row) error {
	return wld.write(bwaction.Write{Row: row, Expected: &exp})
}

func (wld *world) write(wrt bwaction.Write) error {
	wld.wait(5 * time.Millisecond)
	defer wld.wait(wld.faults.pause)
	switch {
	case wld.down() || wld.chance(wld.faults.tableFails):
		return bwaction.ErrUnavailable
	case wld.chance(wld.faults.tableUnsure):
		if wld.chance(0.5) {
			go (&lateWrite{wld: wld, write: wrt}).run()
		} else if wld.chance(0.5) {
			_ = wld.apply(wrt)
		}
		return bwaction.ErrOutcomeUnknown
	}
	return wld.apply(wrt)
}

func (wld *world) down() bool {
	wld.mu.Lock()
	defer wld.mu.Unlock()
	return wld.tableDown && !wld.ended
}

// lateWrite takes effect after its writer was told that it is unsure.
type lateWrite struct {
	wld   *world
	write bwaction.Write
}

func (lw *lateWrite) run() {
	lw.wld.wait(500 * time.Millisecond)
	_ = lw.wld.apply(lw.write)
}

func (wld *world) apply(wrt bwaction.Write) error {
	wld.mu.Lock()
	defer wld.mu.Unlock()
	row, ok := wld.rows[wrt.Row.Key]
	if ok != (wrt.Expected != nil) || ok && row.Version() != *wrt.Expected {
		return bwaction.ErrConflict
	}
	wld.rows[wrt.Row.Key] = wrt.Row
	return nil
}

func (wld *world) choose(_ context.Context, _ bwaction.Request, exclude []bwmodel.UpstreamID) (bwaction.Target, error) {
	wld.mu.Lock()
	defer wld.mu.Unlock()
	for _, pick := range wld.rng.Perm(len(wld.agents)) {
		name := bwmodel.UpstreamID(fmt.Sprintf("u%d", pick))
		if !contains(exclude, name) {
			agt := wld.agents[name]
			// The router's view of the clock may lag.
			lag := time.Duration(wld.rng.Int64N(int64(300 * time.Millisecond)))
			return bwaction.Target{
				Upstream:    bwmodel.Upstream{Name: name},
				Incarnation: agt.inc,
				Clock:       max(agt.ledger.Clock()-lag, 0),
			}, nil
		}
	}
	return bwaction.Target{}, errors.New("no upstream is left")
}

func contains(ids []bwmodel.UpstreamID, id bwmodel.UpstreamID) bool {
	for _, one := range ids {
		if one == id {
			return true
		}
	}
	return false
}

// delivery carries a dispatch to an agent, whether the router waits or not.
type delivery struct {
	wld    *world
	agt    *agent
	dis    bwaction.Dispatch
	late   bool
	result chan deliveryResult
}

type deliveryResult struct {
	stl bwaction.SettleResult
	err error
}

func (wld *world) dispatch(_ context.Context, ups bwmodel.UpstreamID, dis bwaction.Dispatch) (bwaction.SettleResult, error) {
	wld.wait(wld.faults.pause)
	if wld.chance(wld.faults.messageLost) {
		return bwaction.SettleResult{}, errLost
	}
	dlv := &delivery{wld: wld, agt: wld.agents[ups], dis: dis, result: make(chan deliveryResult, 1)}
	dlv.late = wld.chance(wld.faults.messageLate)
	go dlv.run()
	if dlv.late || wld.chance(wld.faults.replyLost) {
		wld.wait(20 * time.Millisecond)
		return bwaction.SettleResult{}, errLost
	}
	res := <-dlv.result
	return res.stl, res.err
}

func (dlv *delivery) run() {
	if dlv.late {
		dlv.wld.wait(3 * time.Second)
	} else {
		dlv.wld.wait(5 * time.Millisecond)
	}
	stl, err := dlv.execute()
	dlv.result <- deliveryResult{stl: stl, err: err}
}

// execute does what an agent and its upstream do; the ledger may be replaced by
// a restart in the meantime.
func (dlv *delivery) execute() (bwaction.SettleResult, error) {
	wld, dis := dlv.wld, dlv.dis
	wld.mu.Lock()
	led := dlv.agt.ledger
	err := led.Begin(dis)
	wld.mu.Unlock()
	if err != nil {
		return bwaction.SettleResult{}, err
	}
	wld.wait(300 * time.Millisecond)
	if wld.chance(wld.faults.appUnreachable) {
		wld.mu.Lock()
		defer wld.mu.Unlock()
		led.Abort(dis.Key)
		return bwaction.SettleResult{}, &bwaction.RefusedError{Refusal: bwaction.RefusedUnsent}
	}
	before, after := wld.chance(wld.faults.appDiesBefore), wld.chance(wld.faults.appDiesAfter)
	wld.mu.Lock()
	defer wld.mu.Unlock()
	rsp := bwmodel.HTTPResponse{Status: 200}
	if !before {
		wld.executed++
		wld.executions[dis.Key] = append(wld.executions[dis.Key], wld.executed)
		rsp.Body = []byte(fmt.Sprint(wld.executed))
	}
	if before || after {
		led.MarkBroken(dis.Key)
		return bwaction.SettleResult{State: bwmodel.SettleBroken}, nil
	}
	led.Finish(dis.Key, rsp)
	return bwaction.SettleResult{State: bwmodel.SettleDone, Response: rsp}, nil
}

func (wld *world) settle(_ context.Context, ups bwmodel.UpstreamID, stl bwaction.SettleRequest) (bwaction.SettleResult, error) {
	wld.wait(5 * time.Millisecond)
	if wld.chance(wld.faults.messageLost) {
		return bwaction.SettleResult{}, errLost
	}
	wld.mu.Lock()
	res, err := wld.agents[ups].ledger.Settle(stl)
	wld.mu.Unlock()
	defer wld.wait(wld.faults.pause)
	if wld.chance(wld.faults.replyLost) {
		return bwaction.SettleResult{}, errLost
	}
	return res, err
}

// disturber restarts agents and takes the table away until the world ends.
type disturber struct{ wld *world }

func (dst *disturber) run(ctx context.Context) {
	for ctx.Err() == nil {
		dst.wld.wait(100 * time.Millisecond)
		dst.step()
	}
}

func (dst *disturber) step() {
	wld := dst.wld
	wld.mu.Lock()
	defer wld.mu.Unlock()
	for ix := range len(wld.agents) {
		agt := wld.agents[bwmodel.UpstreamID(fmt.Sprintf("u%d", ix))]
		if wld.faults.restart > 0 && wld.rng.Float64() < float64(50*time.Millisecond)/float64(wld.faults.restart) {
			agt.restart()
		}
	}
	if wld.tableDown {
		wld.tableDown = wld.rng.Float64() < 0.8
	} else if wld.faults.outage > 0 {
		wld.tableDown = wld.rng.Float64() < float64(50*time.Millisecond)/float64(wld.faults.outage)
	}
}
