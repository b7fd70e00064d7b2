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

// simulation is a table, agents and a plain service with seeded faults. It runs
// on the virtual clock of a synctest bubble.
type simulation struct {
	mu     sync.Mutex
	rng    *rand.Rand
	faults faults
	rows   map[bwaction.Key]bwaction.Row
	agents map[bwmodel.UpstreamID]*agent
	// executions lists the execution numbers of each key.
	executions map[bwaction.Key][]int
	executed   int
	attempts   uint64
	tableDown  bool
	ended      bool
}

// faults holds the share of operations that fail in each way, and times between
// faults.
type faults struct {
	tableFails, tableResponseLost float64
	messageLost                   float64
	messageDelayed                float64
	responseLost                  float64
	appFailsBefore                float64
	appFailsAfter                 float64
	appUnreachable                float64
	// pause is the longest pause of a router between two operations.
	pause time.Duration
	// restart is the mean time between restarts of an agent; 0 means never.
	restart time.Duration
	// outage is the mean time between outages of the table; 0 means never.
	outage time.Duration
}

type agent struct {
	sim    *simulation
	ledger *bwaction.Ledger
	inc    bwmodel.Incarnation
}

var errLost = errors.New("connection lost")

func newSimulation(seed uint64, flt faults, agents int) *simulation {
	sim := &simulation{
		rng:        rand.New(rand.NewPCG(seed, seed)),
		faults:     flt,
		rows:       make(map[bwaction.Key]bwaction.Row),
		agents:     make(map[bwmodel.UpstreamID]*agent),
		executions: make(map[bwaction.Key][]int),
	}
	for ix := range agents {
		agt := &agent{sim: sim}
		agt.restart()
		sim.agents[bwmodel.UpstreamID(fmt.Sprintf("u%d", ix))] = agt
	}
	return sim
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

func (sim *simulation) coordinator() *bwaction.Coordinator {
	return bwaction.NewCoordinator(bwaction.CoordinatorConfig{
		Read:          sim.read,
		Insert:        sim.insert,
		Swap:          sim.swap,
		Choose:        sim.choose,
		Dispatch:      sim.dispatch,
		Settle:        sim.settle,
		Now:           time.Now,
		NewAttempt:    sim.newAttempt,
		Lifetime:      time.Second,
		SettleTimeout: time.Second,
		RunTimeout:    10 * time.Second,
	})
}

func (sim *simulation) happens(share float64) bool {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	return !sim.ended && sim.rng.Float64() < share
}

func (sim *simulation) wait(limit time.Duration) {
	if limit <= 0 {
		return
	}
	sim.mu.Lock()
	dur := time.Duration(sim.rng.Int64N(int64(limit)))
	sim.mu.Unlock()
	time.Sleep(dur)
}

func (sim *simulation) newAttempt() bwmodel.RequestID {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	sim.attempts++
	var rid bwmodel.RequestID
	binary.BigEndian.PutUint64(rid[:], sim.attempts)
	return rid
}

func (sim *simulation) read(_ context.Context, key bwaction.Key) (bwaction.Row, bool, error) {
	sim.wait(5 * time.Millisecond)
	if sim.happens(sim.faults.tableFails) {
		return bwaction.Row{}, false, bwaction.ErrUnavailable
	}
	sim.mu.Lock()
	if sim.tableDown && !sim.ended {
		sim.mu.Unlock()
		return bwaction.Row{}, false, bwaction.ErrUnavailable
	}
	row, ok := sim.rows[key]
	sim.mu.Unlock()
	sim.wait(sim.faults.pause)
	return row, ok, nil
}

func (sim *simulation) insert(_ context.Context, row bwaction.Row) error {
	return sim.write(bwaction.Write{Row: row})
}

func (sim *simulation) swap(_ context.Context, exp bwaction.RowVersion, row bwaction.Row) error {
	return sim.write(bwaction.Write{Row: row, Expected: &exp})
}

func (sim *simulation) write(wrt bwaction.Write) error {
	sim.wait(5 * time.Millisecond)
	defer sim.wait(sim.faults.pause)
	switch {
	case sim.tableIsDown() || sim.happens(sim.faults.tableFails):
		return bwaction.ErrUnavailable
	case sim.happens(sim.faults.tableResponseLost):
		if sim.happens(0.5) {
			go (&delayedWrite{sim: sim, write: wrt}).run()
		} else if sim.happens(0.5) {
			_ = sim.apply(wrt)
		}
		return bwaction.ErrOutcomeUnknown
	}
	return sim.apply(wrt)
}

func (sim *simulation) tableIsDown() bool {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	return sim.tableDown && !sim.ended
}

// delayedWrite is a write that takes effect after it returned ErrOutcomeUnknown.
type delayedWrite struct {
	sim   *simulation
	write bwaction.Write
}

func (dw *delayedWrite) run() {
	dw.sim.wait(500 * time.Millisecond)
	_ = dw.sim.apply(dw.write)
}

func (sim *simulation) apply(wrt bwaction.Write) error {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	row, ok := sim.rows[wrt.Row.Key]
	if ok != (wrt.Expected != nil) || ok && row.Version() != *wrt.Expected {
		return bwaction.ErrConflict
	}
	sim.rows[wrt.Row.Key] = wrt.Row
	return nil
}

func (sim *simulation) choose(_ context.Context, _ bwaction.Request, exclude []bwmodel.UpstreamID) (bwaction.Target, error) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	for _, index := range sim.rng.Perm(len(sim.agents)) {
		name := bwmodel.UpstreamID(fmt.Sprintf("u%d", index))
		if !contains(exclude, name) {
			agt := sim.agents[name]
			// The router's value of the agent's clock may lag.
			lag := time.Duration(sim.rng.Int64N(int64(300 * time.Millisecond)))
			return bwaction.Target{
				Upstream:    bwmodel.Upstream{Name: name},
				Incarnation: agt.inc,
				Clock:       max(agt.ledger.Clock()-lag, 0),
			}, nil
		}
	}
	return bwaction.Target{}, errors.New("every upstream is excluded")
}

func contains(ids []bwmodel.UpstreamID, id bwmodel.UpstreamID) bool {
	for _, one := range ids {
		if one == id {
			return true
		}
	}
	return false
}

// delivery delivers a dispatch to an agent, even if the router no longer waits
// for it.
type delivery struct {
	sim     *simulation
	agt     *agent
	dis     bwaction.Dispatch
	delayed bool
	result  chan deliveryResult
}

type deliveryResult struct {
	stl bwaction.SettleResult
	err error
}

func (sim *simulation) dispatch(_ context.Context, ups bwmodel.UpstreamID, dis bwaction.Dispatch) (bwaction.SettleResult, error) {
	sim.wait(sim.faults.pause)
	if sim.happens(sim.faults.messageLost) {
		return bwaction.SettleResult{}, errLost
	}
	dlv := &delivery{sim: sim, agt: sim.agents[ups], dis: dis, result: make(chan deliveryResult, 1)}
	dlv.delayed = sim.happens(sim.faults.messageDelayed)
	go dlv.run()
	if dlv.delayed || sim.happens(sim.faults.responseLost) {
		sim.wait(20 * time.Millisecond)
		return bwaction.SettleResult{}, errLost
	}
	res := <-dlv.result
	return res.stl, res.err
}

func (dlv *delivery) run() {
	if dlv.delayed {
		dlv.sim.wait(3 * time.Second)
	} else {
		dlv.sim.wait(5 * time.Millisecond)
	}
	stl, err := dlv.execute()
	dlv.result <- deliveryResult{stl: stl, err: err}
}

// execute simulates the agent and its upstream. A restart may replace the
// agent's ledger meanwhile.
func (dlv *delivery) execute() (bwaction.SettleResult, error) {
	sim, dis := dlv.sim, dlv.dis
	sim.mu.Lock()
	led := dlv.agt.ledger
	err := led.Begin(dis)
	sim.mu.Unlock()
	if err != nil {
		return bwaction.SettleResult{}, err
	}
	sim.wait(300 * time.Millisecond)
	if sim.happens(sim.faults.appUnreachable) {
		sim.mu.Lock()
		defer sim.mu.Unlock()
		led.Abort(dis.Key)
		return bwaction.SettleResult{}, &bwaction.RefusedError{Refusal: bwaction.RefusedUnsent}
	}
	before, after := sim.happens(sim.faults.appFailsBefore), sim.happens(sim.faults.appFailsAfter)
	sim.mu.Lock()
	defer sim.mu.Unlock()
	rsp := bwmodel.HTTPResponse{Status: 200}
	if !before {
		sim.executed++
		sim.executions[dis.Key] = append(sim.executions[dis.Key], sim.executed)
		rsp.Body = []byte(fmt.Sprint(sim.executed))
	}
	if before || after {
		led.MarkBroken(dis.Key)
		return bwaction.SettleResult{State: bwmodel.SettleBroken}, nil
	}
	led.Finish(dis.Key, rsp)
	return bwaction.SettleResult{State: bwmodel.SettleDone, Response: rsp}, nil
}

func (sim *simulation) settle(_ context.Context, ups bwmodel.UpstreamID, stl bwaction.SettleRequest) (bwaction.SettleResult, error) {
	sim.wait(5 * time.Millisecond)
	if sim.happens(sim.faults.messageLost) {
		return bwaction.SettleResult{}, errLost
	}
	sim.mu.Lock()
	res, err := sim.agents[ups].ledger.Settle(stl)
	sim.mu.Unlock()
	defer sim.wait(sim.faults.pause)
	if sim.happens(sim.faults.responseLost) {
		return bwaction.SettleResult{}, errLost
	}
	return res, err
}

// faultInjector restarts agents and makes the table unavailable until its
// context ends.
type faultInjector struct{ sim *simulation }

func (inj *faultInjector) run(ctx context.Context) {
	for ctx.Err() == nil {
		inj.sim.wait(100 * time.Millisecond)
		inj.injectFaults()
	}
}

func (inj *faultInjector) injectFaults() {
	sim := inj.sim
	sim.mu.Lock()
	defer sim.mu.Unlock()
	for ix := range len(sim.agents) {
		agt := sim.agents[bwmodel.UpstreamID(fmt.Sprintf("u%d", ix))]
		if sim.faults.restart > 0 && sim.rng.Float64() < float64(50*time.Millisecond)/float64(sim.faults.restart) {
			agt.restart()
		}
	}
	if sim.tableDown {
		sim.tableDown = sim.rng.Float64() < 0.8
	} else if sim.faults.outage > 0 {
		sim.tableDown = sim.rng.Float64() < float64(50*time.Millisecond)/float64(sim.faults.outage)
	}
}
