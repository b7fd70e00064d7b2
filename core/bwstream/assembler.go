package bwstream

import (
	"bytes"
	"unicode/utf8"

	"bilberrywick/core/bwmodel"
)

// TextAssembler turns the bytes of tokens into text of whole characters. A
// character whose bytes span several tokens is held back until its last byte,
// and so is text that may begin a stop text.
type TextAssembler struct {
	mark Cursor
	stop []string
	// stopped says that a stop text was found; the text ends before it.
	stopped bool
	// skip is the number of bytes of the next token that the text has passed already.
	skip int
	// pending starts an unfinished character; spans are the lengths of the
	// tokens' remaining parts that it and later bytes come from.
	pending []byte
	spans   []int
}

// NewTextAssembler returns an assembler that goes on from a point; the next token
// added is the one at the point's position. The text ends before the first of
// the stop texts; empty ones are ignored.
func NewTextAssembler(from Cursor, stop ...string) *TextAssembler {
	asm := &TextAssembler{mark: from, skip: from.Offset}
	for _, txt := range stop {
		if txt != "" {
			asm.stop = append(asm.stop, txt)
		}
	}
	return asm
}

// Add takes the bytes of the next token and returns the text that is complete
// with them. Bytes that can't be part of a character are returned as they are.
func (asm *TextAssembler) Add(tok bwmodel.Token) string {
	if asm.stopped {
		return ""
	}
	part := tok.Bytes[min(asm.skip, len(tok.Bytes)):]
	asm.skip = 0
	asm.pending = append(asm.pending, part...)
	asm.spans = append(asm.spans, len(part))
	if at := asm.findStop(); at >= 0 {
		asm.stopped = true
		return asm.cut(at)
	}
	return asm.cut(min(wholeLength(asm.pending), len(asm.pending)-asm.stopBegun()))
}

// Flush returns what was held back, at the generation's end; nothing after a
// stop text.
func (asm *TextAssembler) Flush() string {
	if asm.stopped {
		return ""
	}
	return asm.cut(len(asm.pending))
}

// Stopped reports whether a stop text was found.
func (asm *TextAssembler) Stopped() bool { return asm.stopped }

// findStop returns where the first stop text begins, or -1.
func (asm *TextAssembler) findStop() int {
	first := -1
	for _, txt := range asm.stop {
		if at := bytes.Index(asm.pending, []byte(txt)); at >= 0 && (first < 0 || at < first) {
			first = at
		}
	}
	return first
}

// stopBegun returns the length of the longest end of the pending bytes that a
// stop text begins with.
func (asm *TextAssembler) stopBegun() int {
	longest := 0
	for _, txt := range asm.stop {
		for size := min(len(txt)-1, len(asm.pending)); size > longest; size-- {
			if bytes.HasSuffix(asm.pending, []byte(txt[:size])) {
				longest = size
			}
		}
	}
	return longest
}

// Cursor returns the point that the returned text reaches.
func (asm *TextAssembler) Cursor() Cursor { return asm.mark }

func (asm *TextAssembler) cut(size int) string {
	txt := string(asm.pending[:size])
	asm.pending = append(asm.pending[:0], asm.pending[size:]...)
	for len(asm.spans) > 0 && asm.spans[0] <= size {
		size -= asm.spans[0]
		asm.spans = asm.spans[1:]
		asm.mark = Cursor{Position: asm.mark.Position + 1}
	}
	if size > 0 {
		asm.spans[0] -= size
		asm.mark.Offset += size
	}
	return txt
}

// wholeLength returns the length without an unfinished character at the end.
func wholeLength(buf []byte) int {
	for back := 1; back < utf8.UTFMax && back <= len(buf); back++ {
		start := len(buf) - back
		if !utf8.RuneStart(buf[start]) {
			continue
		}
		if utf8.FullRune(buf[start:]) {
			return len(buf)
		}
		return start
	}
	return len(buf)
}
