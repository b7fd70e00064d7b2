package bwhttp

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Event is one server-sent event.
type Event struct {
	// ID is sent back as Last-Event-ID when a caller reconnects; empty means the ID of
	// the previous event.
	ID string
	// Name is the event's type; empty means "message".
	Name string
	Data []byte
	// Retry is how long a caller waits before it reconnects; 0 leaves the previous
	// value unchanged.
	Retry time.Duration
}

// ErrEventLineBreak is returned for an event with a character that would end its field
// early, such as a line break in its name.
var ErrEventLineBreak = errors.New("event field contains a line break")

// EventWriter writes events to a response and flushes each one.
type EventWriter struct {
	rw  http.ResponseWriter
	ctl *http.ResponseController
	buf []byte
}

// NewEventWriter sends the header of an event stream with status 200, or returns
// the connection's error.
func NewEventWriter(rw http.ResponseWriter) (*EventWriter, error) {
	hdr := rw.Header()
	hdr.Set("Content-Type", EventStreamContentType)
	hdr.Set("Cache-Control", "no-store")
	// Without this header, a load balancer that buffers responses would delay tokens.
	hdr.Set("X-Accel-Buffering", "no")
	rw.WriteHeader(http.StatusOK)
	ew := &EventWriter{rw: rw, ctl: http.NewResponseController(rw)}
	if err := ew.ctl.Flush(); err != nil {
		return nil, fmt.Errorf("start event stream: %w", err)
	}
	return ew, nil
}

// Write sends one event. It returns ErrEventLineBreak, without sending anything, if
// a field contains a character that would end it early, or the connection's error.
func (ew *EventWriter) Write(ev *Event) error {
	if strings.ContainsAny(ev.ID, "\r\n\x00") || strings.ContainsAny(ev.Name, "\r\n") || bytes.IndexByte(ev.Data, '\r') >= 0 {
		return ErrEventLineBreak
	}
	ew.buf = AppendEvent(ew.buf[:0], ev)
	return ew.flush()
}

// KeepAlive sends a comment line, so that intermediaries don't close an idle
// connection.
func (ew *EventWriter) KeepAlive() error {
	ew.buf = append(ew.buf[:0], ":\n\n"...)
	return ew.flush()
}

func (ew *EventWriter) flush() error {
	if _, err := ew.rw.Write(ew.buf); err != nil {
		return fmt.Errorf("write event: %w", err)
	}
	if err := ew.ctl.Flush(); err != nil {
		return fmt.Errorf("flush event: %w", err)
	}
	return nil
}

// AppendEvent appends the serialized form of an event. Its fields must not contain
// line breaks, except for "\n" in Data.
func AppendEvent(buf []byte, ev *Event) []byte {
	if ev.ID != "" {
		buf = append(append(append(buf, "id: "...), ev.ID...), '\n')
	}
	if ev.Name != "" {
		buf = append(append(append(buf, "event: "...), ev.Name...), '\n')
	}
	if ev.Retry > 0 {
		buf = append(buf, "retry: "...)
		buf = append(strconv.AppendInt(buf, ev.Retry.Milliseconds(), 10), '\n')
	}
	rest := ev.Data
	for more := true; more; {
		var line []byte
		line, rest, more = bytes.Cut(rest, []byte{'\n'})
		buf = append(append(append(buf, "data: "...), line...), '\n')
	}
	return append(buf, '\n')
}

// EventReader reads events from a stream.
type EventReader struct {
	src      *bufio.Reader
	maxBytes int
	size     int
	line     []byte
	event    Event
	inEvent  bool
	// afterCR is set when the previous byte was "\r", so that a "\n" belongs to the
	// same line break.
	afterCR bool
	// firstLineRead is set after the first line, which may start with a byte order mark.
	firstLineRead bool
}

// EventReaderConfig configures an EventReader.
type EventReaderConfig struct {
	Source io.Reader
	// MaxBytes limits the size of one event; 0 means 1 MiB.
	MaxBytes int
}

const defaultMaxEventBytes = 1 << 20

// ErrEventTooLarge is returned for an event of more than EventReaderConfig.MaxBytes.
var ErrEventTooLarge = errors.New("event is too large")

// NewEventReader returns a reader at the start of a stream.
func NewEventReader(cfg EventReaderConfig) *EventReader {
	if cfg.MaxBytes == 0 {
		cfg.MaxBytes = defaultMaxEventBytes
	}
	return &EventReader{src: bufio.NewReader(cfg.Source), maxBytes: cfg.MaxBytes}
}

// Next returns the next event, which is valid until the next call. It returns
// io.EOF at the end of the stream, io.ErrUnexpectedEOF when the stream ends
// within an event, ErrEventTooLarge, or the source's error.
func (er *EventReader) Next() (*Event, error) {
	er.event = Event{Data: er.event.Data[:0]}
	er.size, er.inEvent = 0, false
	hasData := false
	for {
		line, err := er.readLine()
		if err != nil {
			return nil, err
		}
		if len(line) > 0 {
			er.inEvent = true
			hasData = er.applyField(line, hasData)
			continue
		}
		if hasData {
			return &er.event, nil
		}
		// An event without data is dropped. By the standard its ID and retry would still
		// apply, but no sender in this system relies on that.
		er.event = Event{Data: er.event.Data[:0]}
		er.size, er.inEvent = 0, false
	}
}

// applyField applies a line to the event and reports whether the event has data.
func (er *EventReader) applyField(line []byte, hasData bool) bool {
	name, val, _ := bytes.Cut(line, []byte{':'})
	val = bytes.TrimPrefix(val, []byte{' '})
	switch string(name) {
	case "data":
		if hasData {
			er.event.Data = append(er.event.Data, '\n')
		}
		er.event.Data = append(er.event.Data, val...)
		return true
	case "id":
		if bytes.IndexByte(val, 0) < 0 {
			er.event.ID = string(val)
		}
	case "event":
		er.event.Name = string(val)
	case "retry":
		if ms, err := strconv.ParseUint(string(val), 10, 31); err == nil {
			er.event.Retry = time.Duration(ms) * time.Millisecond
		}
	}
	return hasData
}

// readLine returns the next line without its line break, which is "\n", "\r" or "\r\n".
func (er *EventReader) readLine() ([]byte, error) {
	er.line = er.line[:0]
	for {
		chr, err := er.src.ReadByte()
		if err != nil {
			return nil, er.streamError(err)
		}
		if chr == '\n' && er.afterCR {
			er.afterCR = false
			continue
		}
		er.afterCR = chr == '\r'
		if chr == '\n' || chr == '\r' {
			return er.trimByteOrderMark(), nil
		}
		if er.size++; er.size > er.maxBytes {
			return nil, ErrEventTooLarge
		}
		er.line = append(er.line, chr)
	}
}

func (er *EventReader) trimByteOrderMark() []byte {
	if er.firstLineRead {
		return er.line
	}
	er.firstLineRead = true
	return bytes.TrimPrefix(er.line, []byte("\uFEFF"))
}

func (er *EventReader) streamError(err error) error {
	if errors.Is(err, io.EOF) && (er.inEvent || len(er.line) > 0) {
		return io.ErrUnexpectedEOF
	}
	return err
}
