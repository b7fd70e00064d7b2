package bwgateway

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"strconv"
)

// event is one server-sent event as the upstream wrote it.
type event struct {
	id  uint64
	raw []byte
}

// eventReader splits a response's body into whole events.
type eventReader struct {
	rdr *bufio.Reader
	buf []byte
}

// maxEvent bounds one event; the largest of today's are a few hundred bytes.
const maxEvent = 1 << 20

var (
	errEventTooLong = errors.New("event is too long")
	errEventNoID    = errors.New("event has no ID")
)

func newEventReader(body io.Reader) *eventReader {
	return &eventReader{rdr: bufio.NewReaderSize(body, readBuffer)}
}

// next returns the next event, whose bytes stay valid until the call after.
// It returns io.EOF only between events.
func (er *eventReader) next() (event, error) {
	var evt event
	er.buf = er.buf[:0]
	numbered := false
	for {
		line, err := er.rdr.ReadSlice('\n')
		er.buf = append(er.buf, line...)
		if len(er.buf) > maxEvent {
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
				return evt, fmt.Errorf("event ID: %w", err)
			}
			numbered = true
		}
	}
	if !numbered {
		return evt, errEventNoID
	}
	evt.raw = er.buf
	return evt, nil
}
