package bwgateway

import (
	"errors"

	"bilberrywick/io/bwlisten"
)

const (
	// maxHeadBytes bounds the header of a response, together with the informational
	// responses before it.
	maxHeadBytes = 64 << 10
	// maxHeadFields bounds its lines. Upstreams send about ten.
	maxHeadFields = bwlisten.DefaultFields
)

// Errors of a response's header, beside those of the connection.
var (
	// errHeaderTooLong means that an upstream has sent maxHeadBytes or maxHeadFields and
	// no complete header.
	errHeaderTooLong = errors.New("header is too long")
	errHeadMemory    = errors.New("too many headers of upstreams in memory")
)

// responseHead counts the bytes of a response's header as they arrive, before net/http
// parses them, and holds the memory of the parsed header. It is not safe for concurrent
// use.
type responseHead struct {
	// memory is what the headers of all upstreams share.
	memory   *bodyMemory
	reserved int64
	// left is the number of bytes that may still arrive before the end of the header.
	left   int
	inHead bool
	meter  bwlisten.HeaderMeter
	// err ends all further reads. bufio drops an error that comes with or after a part of
	// a line, and reads again.
	err error
}

func (rhd *responseHead) begin() { rhd.left, rhd.inHead = maxHeadBytes, true }

// next prepares for the header after that of an informational response.
func (rhd *responseHead) next() { rhd.meter = bwlisten.HeaderMeter{} }

func (rhd *responseHead) end() { rhd.inHead = false }

// count counts bytes that have arrived. It returns errHeaderTooLong or errHeadMemory if
// they must not be parsed.
func (rhd *responseHead) count(data []byte) error {
	if !rhd.inHead {
		return nil
	}
	rhd.left -= len(data)
	cost := rhd.meter.Add(data)
	if rhd.left < 0 || rhd.meter.Fields() > maxHeadFields {
		rhd.err = errHeaderTooLong
		return rhd.err
	}
	if !rhd.memory.reserve(rhd.reserved, cost, true) {
		rhd.err = errHeadMemory
		return rhd.err
	}
	rhd.reserved += cost
	return nil
}

// release frees the memory of the header.
func (rhd *responseHead) release() {
	rhd.memory.used.Add(-rhd.reserved)
	rhd.reserved = 0
}
