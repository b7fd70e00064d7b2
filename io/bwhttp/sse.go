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
	// ID is what a caller sends back as Last-Event-ID; empty leaves the last one in force.
	ID string
	// Name is the event's type; empty means "message".
	Name string
	Data []byte
	// Retry is how long a caller waits before it reconnects; 0 leaves the last one in force.
	Retry time.Duration
}

// ErrEventLineBreak says that a field of an event has characters that end a line.
var ErrEventLineBreak = errors.New("event has a line break where none may be")

// EventWriter writes events to a caller and flushes each one.
type EventWriter struct {
	rw  http.ResponseWriter
	ctl *http.ResponseController
	buf []byte
}

// NewEventWriter sends the head of an event stream with status 200.
func NewEventWriter(rw http.ResponseWriter) (*EventWriter, error) {
	hdr := rw.Header()
	hdr.Set("Content-Type", EventStreamContentType)
	hdr.Set("Cache-Control", "no-store")
	// Load balancers that buffer responses would hold tokens back.
	hdr.Set("X-Accel-Buffering", "no")
	rw.WriteHeader(http.StatusOK)
	ew := &EventWriter{rw: rw, ctl: http.NewResponseController(rw)}
	if err := ew.ctl.Flush(); err != nil {
		return nil, fmt.Errorf("start event stream: %w", err)
	}
	return ew, nil
}

// Write sends one event, or returns ErrEventText when it can't be written as
// it is, or the connection's error.
func (ew *EventWriter) Write(ev *Event) error {
	if strings.ContainsAny(ev.ID, "\r\n\x00") || strings.ContainsAny(ev.Name, "\r\n") || bytes.IndexByte(ev.Data, '\r') >= 0 {
		return ErrEventLineBreak
	}
	ew.buf = AppendEvent(ew.buf[:0], ev)
	return ew.send()
}

// KeepAlive sends a comment, so that idle connections aren't closed on the way.
func (ew *EventWriter) KeepAlive() error {
	ew.buf = append(ew.buf[:0], ":\n\n"...)
	return ew.send()
}

func (ew *EventWriter) send() error {
	if _, err := ew.rw.Write(ew.buf); err != nil {
		return fmt.Errorf("write event: %w", err)
	}
	if err := ew.ctl.Flush(); err != nil {
		return fmt.Errorf("flush event: %w", err)
	}
	return nil
}

// AppendEvent appends the written form of an event whose fields have no line
// breaks other than "\n" in Data.
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
	started  bool
	// afterCR says that a "\n" at the start belongs to the line break before it.
	afterCR bool
	// begun says that the first line has been read, which may start with a byte order mark.
	begun bool
}

// EventReaderConfig configures an EventReader.
type EventReaderConfig struct {
	Source io.Reader
	// MaxBytes bounds one event; 0 means 1 MiB.
	MaxBytes int
}

const defaultEventBytes = 1 << 20

// ErrEventTooLarge says that an event has more bytes than the reader takes.
var ErrEventTooLarge = errors.New("event is too large")

// NewEventReader returns a reader at the start of a stream.
func NewEventReader(cfg EventReaderConfig) *EventReader {
	if cfg.MaxBytes == 0 {
		cfg.MaxBytes = defaultEventBytes
	}
	return &EventReader{src: bufio.NewReader(cfg.Source), maxBytes: cfg.MaxBytes}
}

// Next returns the next event, which is valid until the next call. It returns
// io.EOF at the end of the stream, io.ErrUnexpectedEOF when the stream ends
// within an event, ErrEventTooLarge, or the source's error.
func (er *EventReader) Next() (*Event, error) {
	er.event = Event{Data: er.event.Data[:0]}
	er.size, er.started = 0, false
	hasData := false
	for {
		line, err := er.readLine()
		if err != nil {
			return nil, err
		}
		if len(line) > 0 {
			er.started = true
			hasData = er.field(line, hasData)
			continue
		}
		if hasData {
			return &er.event, nil
		}
		// An event without data is none, but its ID and retry would be in force; no
		// sender in this system relies on that.
		er.event = Event{Data: er.event.Data[:0]}
		er.size, er.started = 0, false
	}
}

// field applies one line and reports whether the event has data.
func (er *EventReader) field(line []byte, hasData bool) bool {
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

// readLine returns the next line without its break: "\n", "\r" or "\r\n".
func (er *EventReader) readLine() ([]byte, error) {
	er.line = er.line[:0]
	for {
		chr, err := er.src.ReadByte()
		if err != nil {
			return nil, er.ended(err)
		}
		if chr == '\n' && er.afterCR {
			er.afterCR = false
			continue
		}
		er.afterCR = chr == '\r'
		if chr == '\n' || chr == '\r' {
			return er.trimMark(), nil
		}
		if er.size++; er.size > er.maxBytes {
			return nil, ErrEventTooLarge
		}
		er.line = append(er.line, chr)
	}
}

func (er *EventReader) trimMark() []byte {
	if er.begun {
		return er.line
	}
	er.begun = true
	return bytes.TrimPrefix(er.line, []byte("\uFEFF"))
}

func (er *EventReader) ended(err error) error {
	if errors.Is(err, io.EOF) && (er.started || len(er.line) > 0) {
		return io.ErrUnexpectedEOF
	}
	return err
}
