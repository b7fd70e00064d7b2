package bwgateway

import (
	"log"
	"net"
	"net/http"
	"time"

	"bilberrywick/io/bwlisten"
)

const (
	// connectionShare is the part of MemoryLimit for callers' connections, of which each
	// takes connectionCost: two buffers of net/http, a stack and its request.
	connectionShare = 0.2
	connectionCost  = 16 << 10
	// headerShare is the part of MemoryLimit for headers of callers, and
	// upstreamHeaderShare for those of upstreams. Headers within the limits that arrive
	// take a few milliseconds, and those of ordinary callers need 3 KiB.
	headerShare         = 0.08
	upstreamHeaderShare = 0.05
	// callerDescriptorShare is the part of the free descriptors for callers: each of
	// their requests may need a connection to an upstream.
	callerDescriptorShare = 0.5
	// callerReadBuffer bounds what the system holds for a connection that is not read,
	// which counts as the process's memory. It allows 50 Mbit/s at 5 ms.
	callerReadBuffer = 32 << 10
	// callerWriteTimeout is the time in which a caller must read 64 KiB of a response;
	// that is 52 kbit/s.
	callerWriteTimeout = 10 * time.Second
)

const (
	// statusConnections is far above the connections of the platform's checks and of the
	// reader of metrics.
	statusConnections = 64
	// statusMaxHeaderBytes bounds the header of a request for the status, and
	// statusHeaderBytes the memory of all.
	statusMaxHeaderBytes = 8 << 10
	statusHeaderBytes    = 1 << 20
	// statusTimeout bounds each request for the status; checks wait for one second.
	statusTimeout     = 3 * time.Second
	statusIdleTimeout = 15 * time.Second
)

// callerConnections returns the number of callers' connections of a process with a limit
// in MiB.
func callerConnections(limit float64) int {
	return min(int(limit*connectionShare*(1<<20)/connectionCost), bwlisten.ConnectionsOf(callerDescriptorShare))
}

func callerHeaderBytes(limit float64) int64 { return int64(limit * headerShare * (1 << 20)) }

func upstreamHeaderBytes(limit float64) int64 {
	return int64(limit * upstreamHeaderShare * (1 << 20))
}

// newStatusServer returns the server for the platform's checks and for metrics.
func newStatusServer(handler http.Handler, lgr *log.Logger) *http.Server {
	return &http.Server{
		Handler: handler, ErrorLog: lgr, MaxHeaderBytes: statusMaxHeaderBytes,
		ReadTimeout: statusTimeout, WriteTimeout: statusTimeout, IdleTimeout: statusIdleTimeout,
	}
}

// listen bounds the connections of both addresses. Those of the status address have their
// own limits, so that a flood of callers doesn't affect the platform's checks.
func (prc *Process) listen(callers, status net.Listener) {
	limit := prc.cfg.Settings.MemoryLimit
	cll := bwlisten.NewClosureLog(bwlisten.ClosureLogConfig{Count: prc.metrics.countClosed, Log: prc.cfg.Log})
	prc.callers = bwlisten.New(callers, bwlisten.Config{
		Connections: callerConnections(limit), HeaderBytes: callerHeaderBytes(limit),
		ReadBuffer: callerReadBuffer, WriteTimeout: callerWriteTimeout, OnClose: cll.OnClose("callers"),
	})
	prc.status = bwlisten.New(status, bwlisten.Config{
		Connections: statusConnections, HeaderBytes: statusHeaderBytes, EvictRunning: true,
		ReadBuffer: statusMaxHeaderBytes, OnClose: cll.OnClose("status"),
	})
	prc.callerServer.ConnState, prc.statusServer.ConnState = prc.callers.ConnState, prc.status.ConnState
	prc.callerServer.ConnContext, prc.statusServer.ConnContext = prc.callers.ConnContext, prc.status.ConnContext
	prc.addMemoryGauges()
}

// addMemoryGauges adds gauges for the memory that the process holds for others.
func (prc *Process) addMemoryGauges() {
	for name, lis := range map[string]*bwlisten.Listener{"callers": prc.callers, "status": prc.status} {
		prc.metrics.addConnectionsGauge(name, func() float64 { return float64(lis.Connections()) })
		prc.metrics.addHeldGauge("headers of "+name, func() float64 { return float64(lis.HeaderBytes()) })
	}
	for name, mem := range map[string]*bodyMemory{
		"request bodies": &prc.gateway.requestBodies, "response bodies": &prc.gateway.responseBodies, "headers of upstreams": &prc.gateway.upstreamHeaders,
	} {
		prc.metrics.addHeldGauge(name, func() float64 { return float64(mem.used.Load()) })
	}
}
