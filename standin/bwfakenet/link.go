package bwfakenet

import (
	"context"
	"net"
	"sync/atomic"
)

// link relays one connection in both directions.
type link struct {
	way

	nw     *Network
	inner  net.Conn
	far    net.Conn
	ctx    context.Context
	cancel context.CancelFunc
	open   atomic.Int32
}

// chunkBytes is the size of one read, and chunks the number that a held
// direction takes before the writer blocks, as a full socket buffer makes it.
const (
	chunkBytes = 16 << 10
	chunks     = 64
)

func newLink(nw *Network, wy way, inner, far net.Conn) *link {
	lnk := &link{way: wy, nw: nw, inner: inner, far: far}
	lnk.ctx, lnk.cancel = context.WithCancel(context.Background())
	return lnk
}

func (lnk *link) start() {
	pumps := []*pump{
		{lnk: lnk, way: lnk.way, src: lnk.inner, dst: lnk.far, queue: make(chan []byte, chunks)},
		{lnk: lnk, way: way{lnk.to, lnk.from}, src: lnk.far, dst: lnk.inner, queue: make(chan []byte, chunks)},
	}
	lnk.open.Store(int32(len(pumps)))
	for _, pmp := range pumps {
		go pmp.run()
		go pmp.loop()
	}
}

// sever breaks the connection at once and drops what is held.
func (lnk *link) sever() {
	lnk.cancel()
	_ = lnk.inner.Close()
	_ = lnk.far.Close()
}

// pump is one direction of a link.
type pump struct {
	way

	lnk   *link
	src   net.Conn
	dst   net.Conn
	queue chan []byte
}

// run reads what one side writes until it closes.
func (pmp *pump) run() {
	defer close(pmp.queue)
	for {
		buf := make([]byte, chunkBytes)
		count, err := pmp.src.Read(buf)
		if count > 0 {
			select {
			case pmp.queue <- buf[:count]:
			case <-pmp.lnk.ctx.Done():
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// loop passes on what was read while the way is open, and then the end of the
// stream, which is subject to the way's condition too.
func (pmp *pump) loop() {
	defer pmp.end()
	for buf := range pmp.queue {
		if pmp.lnk.nw.pass(pmp.lnk.ctx, pmp.way) != nil {
			pmp.lnk.sever()
			return
		}
		if _, err := pmp.dst.Write(buf); err != nil {
			pmp.lnk.sever()
			return
		}
	}
	_ = pmp.lnk.nw.pass(pmp.lnk.ctx, pmp.way)
	_ = pmp.dst.Close()
}

func (pmp *pump) end() {
	if pmp.lnk.open.Add(-1) == 0 {
		pmp.lnk.cancel()
		pmp.lnk.nw.forget(pmp.lnk)
	}
}
