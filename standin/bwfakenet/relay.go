package bwfakenet

import (
	"context"
	"net"
	"sync/atomic"
)

// relay copies one connection's data in both directions.
type relay struct {
	direction

	nw            *Network
	local         net.Conn
	remote        net.Conn
	ctx           context.Context
	cancel        context.CancelFunc
	activeCopiers atomic.Int32
}

const (
	// chunkBytes is the size of one read.
	chunkBytes = 16 << 10
	// maxQueuedChunks is the number of chunks that a held direction buffers. When
	// they are used up, the writer blocks, as it does with a full socket buffer.
	maxQueuedChunks = 64
)

func newRelay(nw *Network, dir direction, local, remote net.Conn) *relay {
	rly := &relay{direction: dir, nw: nw, local: local, remote: remote}
	rly.ctx, rly.cancel = context.WithCancel(context.Background())
	return rly
}

func (rly *relay) start() {
	copiers := []*copier{
		{relay: rly, direction: rly.direction, src: rly.local, dst: rly.remote, queue: make(chan []byte, maxQueuedChunks)},
		{relay: rly, direction: direction{rly.to, rly.from}, src: rly.remote, dst: rly.local, queue: make(chan []byte, maxQueuedChunks)},
	}
	rly.activeCopiers.Store(int32(len(copiers)))
	for _, cpr := range copiers {
		go cpr.run()
		go cpr.loop()
	}
}

// abort closes the connection immediately and discards the buffered data.
func (rly *relay) abort() {
	rly.cancel()
	_ = rly.local.Close()
	_ = rly.remote.Close()
}

// copier copies one direction of a relay.
type copier struct {
	direction

	relay *relay
	src   net.Conn
	dst   net.Conn
	queue chan []byte
}

// run reads from the source until it is closed.
func (cpr *copier) run() {
	defer close(cpr.queue)
	for {
		buf := make([]byte, chunkBytes)
		count, err := cpr.src.Read(buf)
		if count > 0 {
			select {
			case cpr.queue <- buf[:count]:
			case <-cpr.relay.ctx.Done():
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// loop writes the data to the destination while the direction is open. The end
// of the stream is also delayed while the direction is held.
func (cpr *copier) loop() {
	defer cpr.finish()
	for buf := range cpr.queue {
		if cpr.relay.nw.awaitOpen(cpr.relay.ctx, cpr.direction) != nil {
			cpr.relay.abort()
			return
		}
		if _, err := cpr.dst.Write(buf); err != nil {
			cpr.relay.abort()
			return
		}
	}
	_ = cpr.relay.nw.awaitOpen(cpr.relay.ctx, cpr.direction)
	_ = cpr.dst.Close()
}

func (cpr *copier) finish() {
	if cpr.relay.activeCopiers.Add(-1) == 0 {
		cpr.relay.cancel()
		cpr.relay.nw.removeRelay(cpr.relay)
	}
}
