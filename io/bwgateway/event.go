package bwgateway

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"strconv"
)

// event is one server-sent event with the bytes that the upstream sent.
type event struct {
	id  uint64
	raw []byte
}

// eventReader splits a response body into complete events.
type eventReader struct {
	rdr *bufio.Reader
	buf []byte
}

const (
	// maxEventBytes bounds one event; the largest in use have a few hundred bytes.
	maxEventBytes = 256 << 10
	// maxRepeatedBytes bounds the events of one attempt that the caller already has.
	maxRepeatedBytes = 1 << 20
)

var (
	errEventTooLong = errors.New("event is too long")
	errRepeated     = errors.New("engine repeats events that were delivered")
	errEventNoID    = errors.New("event has no ID")
)

func newEventReader(body io.Reader) *eventReader {
	return &eventReader{rdr: bufio.NewReaderSize(body, readBufferSize)}
}

// next returns the next event, whose bytes are valid until the following call.
// It returns io.EOF only between events, and io.ErrUnexpectedEOF within one.
func (er *eventReader) next() (event, error) {
	var evt event
	er.buf = er.buf[:0]
	hasID := false
	for {
		line, err := er.rdr.ReadSlice('\n')
		er.buf = append(er.buf, line...)
		if len(er.buf) > maxEventBytes {
			return evt, errEventTooLong
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		if errors.Is(err, io.EOF) && len(er.buf) > 0 {
			err = io.ErrUnexpectedEOF
		}
		if err != nil {
			return evt, err
		}
		field := bytes.TrimRight(line, "\r\n")
		if len(field) == 0 {
			break
		}
		if val, ok := bytes.CutPrefix(field, []byte("id:")); ok {
			evt.id, err = strconv.ParseUint(string(bytes.TrimSpace(val)), 10, 64)
			if err != nil {
				return evt, fmt.Errorf("parse event ID: %w", err)
			}
			hasID = true
		}
	}
	if !hasID {
		return evt, errEventNoID
	}
	evt.raw = er.buf
	return evt, nil
}
