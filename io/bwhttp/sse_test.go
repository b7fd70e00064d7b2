package bwhttp_test

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"testing"

	"bilberrywick/io/bwhttp"
)

func readEvents(src io.Reader) ([]bwhttp.Event, error) {
	er := bwhttp.NewEventReader(bwhttp.EventReaderConfig{Source: src, MaxBytes: 1 << 12})
	var list []bwhttp.Event
	for {
		ev, err := er.Next()
		if err != nil {
			return list, err
		}
		cp := *ev
		cp.Data = bytes.Clone(ev.Data)
		list = append(list, cp)
	}
}

// Guards against events that are split, joined or changed by line breaks, and
// against a truncated event that is returned as a complete one.
func TestReadEvents(t *testing.T) {
	tests := []struct {
		name, stream string
		want         []string
		err          error
	}{
		{"line breaks", "data: a\n\ndata: b\r\n\r\ndata: c\r\r", []string{"a", "b", "c"}, io.EOF},
		{"lines of data", "data: a\ndata:  b\ndata\n\n", []string{"a\n b\n"}, io.EOF},
		{"comments and byte order mark", "\uFEFF: hi\n\ndata:ľúbi ሰላም\n\n", []string{"ľúbi ሰላም"}, io.EOF},
		{"truncated event", "data: a\n\ndata: b\n", []string{"a"}, io.ErrUnexpectedEOF},
		{"truncated line", "data: a", nil, io.ErrUnexpectedEOF},
		{"too large", "data: " + strings.Repeat("x", 1<<13) + "\n\n", nil, bwhttp.ErrEventTooLarge},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			list, err := readEvents(strings.NewReader(tt.stream))
			if !errors.Is(err, tt.err) || len(list) != len(tt.want) {
				t.Fatalf("got %d events, error %v, want %d events, error %v", len(list), err, len(tt.want), tt.err)
			}
			for ix, want := range tt.want {
				if got := string(list[ix].Data); got != want {
					t.Errorf("event %d: got %q, want %q", ix, got, want)
				}
			}
		})
	}
}

// Guards against malformed streams that panic the reader, and against events that
// change when they are written and read again.
func FuzzEventReader(f *testing.F) {
	f.Add([]byte("id: 7\nevent: token\nretry: 20\ndata: {\"Text\":\"ľ\"}\n\n"))
	f.Add([]byte(":\r\r\ndata\r\n\r\n"))
	f.Fuzz(checkRoundTrip)
}

func checkRoundTrip(t *testing.T, data []byte) {
	list, err := readEvents(bytes.NewReader(data))
	if err == nil {
		t.Fatal("got no error at the end of the stream")
	}
	var buf []byte
	for ix := range list {
		buf = bwhttp.AppendEvent(buf, &list[ix])
	}
	again, _ := readEvents(bytes.NewReader(buf))
	if len(again) != len(list) {
		t.Fatalf("got %d events after writing and reading again, want %d", len(again), len(list))
	}
	for ix := range list {
		if !bytes.Equal(again[ix].Data, list[ix].Data) || again[ix].ID != list[ix].ID {
			t.Errorf("event %d: got %+v, want %+v", ix, again[ix], list[ix])
		}
	}
}
