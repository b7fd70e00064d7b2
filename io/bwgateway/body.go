package bwgateway

import (
	"errors"
	"io"
	"sync/atomic"
)

// bodyMemory limits the memory of bodies that the process holds: those of callers'
// requests, which may be sent again, or those of plain responses, which are
// forwarded once they are complete. The two have their own limits, so that
// requests that wait don't take the memory for the responses of those that ran.
type bodyMemory struct{ limit, used atomic.Int64 }

// Errors of bodyHolder.read, beside those of the reader.
var (
	errBodyTooLong  = errors.New("body is too long")
	errBodiesInHand = errors.New("too many bodies in memory")
)

// firstBodyCapacity is the memory reserved for a body at first; it is doubled as
// the body grows.
const firstBodyCapacity = 4 << 10

// reserve takes memory for a body that has some already, and reports whether there
// was enough. The first part of a body is always granted to a response: its
// request has run, and the number of requests is bounded.
func (bdm *bodyMemory) reserve(held, size int64, isResponse bool) bool {
	if bdm.used.Add(size) > bdm.limit.Load() && (held > 0 || !isResponse) {
		bdm.used.Add(-size)
		return false
	}
	return true
}

// bodyHolder holds the memory of one request's bodies. It is not safe for
// concurrent use.
type bodyHolder struct {
	memory     *bodyMemory
	isResponse bool
	reserved   int64
}

// read reads a body up to a length. It returns errBodyTooLong for a longer one and
// errBodiesInHand if the process has no memory for it.
func (bdh *bodyHolder) read(rdr io.Reader, limit int64) ([]byte, error) {
	var body []byte
	for {
		if len(body) == cap(body) {
			capacity := max(2*cap(body), firstBodyCapacity)
			if !bdh.memory.reserve(int64(cap(body)), int64(capacity-cap(body)), bdh.isResponse) {
				return nil, errBodiesInHand
			}
			bdh.reserved += int64(capacity - cap(body))
			body = append(make([]byte, 0, capacity), body...)
		}
		size, err := rdr.Read(body[len(body):cap(body)])
		body = body[:len(body)+size]
		switch {
		case int64(len(body)) > limit:
			return nil, errBodyTooLong
		case errors.Is(err, io.EOF):
			return body, nil
		case err != nil:
			return nil, err
		}
	}
}

// release frees the memory of all bodies.
func (bdh *bodyHolder) release() {
	bdh.memory.used.Add(-bdh.reserved)
	bdh.reserved = 0
}
