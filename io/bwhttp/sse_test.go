package bwhttp_test

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"testing"

	"bilberrywick/io/bwhttp"
)

func readAll(src io.Reader) ([]bwhttp.Event, error) {
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
// against a cut-off event that is taken for a whole one.
func TestReadEvents(t *testing.T) {
	tests := []struct {
		name, stream string
		want         []string
		err          error
	}{
		{"line breaks", "data: a\n\ndata: b\r\n\r\ndata: c\r\r", []string{"a", "b", "c"}, io.EOF},
		{"lines of data", "data: a\ndata:  b\ndata\n\n", []string{"a\n b\n"}, io.EOF},
		{"comments and mark", "\uFEFF: hi\n\ndata:ľúbi ሰላም\n\n", []string{"ľúbi ሰላም"}, io.EOF},
		{"cut off", "data: a\n\ndata: b\n", []string{"a"}, io.ErrUnexpectedEOF},
		{"cut off in a line", "data: a", nil, io.ErrUnexpectedEOF},
		{"too large", "data: " + strings.Repeat("x", 1<<13) + "\n\n", nil, bwhttp.ErrEventTooLarge},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			list, err := readAll(strings.NewReader(tt.stream))
			if !errors.Is(err, tt.err) || len(list) != len(tt.want) {
				t.Fatalf("got %d events, %v, want %d, %v", len(list), err, len(tt.want), tt.err)
			}
			for ix, want := range tt.want {
				if got := string(list[ix].Data); got != want {
					t.Errorf("event %d: %q, want %q", ix, got, want)
				}
			}
		})
	}
}

// Guards against streams from outside that panic the reader, and against
// events that change when they are written and read again.
func FuzzEventReader(f *testing.F) {
	f.Add([]byte("id: 7\nevent: token\nretry: 20\ndata: {\"Text\":\"ľ\"}\n\n"))
	f.Add([]byte(":\r\r\ndata\r\n\r\n"))
	f.Fuzz(checkEvents)
}

func checkEvents(t *testing.T, data []byte) {
	list, err := readAll(bytes.NewReader(data))
	if err == nil {
		t.Fatal("no error at the end")
	}
	var buf []byte
	for ix := range list {
		buf = bwhttp.AppendEvent(buf, &list[ix])
	}
	again, _ := readAll(bytes.NewReader(buf))
	if len(again) != len(list) {
		t.Fatalf("%d events, want %d", len(again), len(list))
	}
	for ix := range list {
		if !bytes.Equal(again[ix].Data, list[ix].Data) || again[ix].ID != list[ix].ID {
			t.Errorf("event %d: %+v, want %+v", ix, again[ix], list[ix])
		}
	}
}
