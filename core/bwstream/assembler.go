package bwstream

import (
	"bytes"
	"unicode/utf8"

	"bilberrywick/core/bwmodel"
)

// TextAssembler converts the bytes of tokens to text that ends between characters.
// It buffers the bytes of an incomplete character, and text that may be the
// beginning of a stop sequence.
type TextAssembler struct {
	cursor        Cursor
	stopSequences []string
	// stopped is set once a stop sequence was found; the text ends before it.
	stopped bool
	// skipBytes is the number of bytes of the next token that precede the start.
	skipBytes int
	// pending are the bytes that were not returned yet; tokenSizes are the numbers
	// of pending bytes from each token, in order.
	pending    []byte
	tokenSizes []int
}

// NewTextAssembler returns an assembler that continues at start; the next token to
// add is the one at start.Position. The text ends before the first of the stop
// sequences; empty ones are ignored.
func NewTextAssembler(start Cursor, stopSequences ...string) *TextAssembler {
	asm := &TextAssembler{cursor: start, skipBytes: start.Offset}
	for _, txt := range stopSequences {
		if txt != "" {
			asm.stopSequences = append(asm.stopSequences, txt)
		}
	}
	return asm
}

// Add appends the bytes of the next token and returns the text that they
// complete. Bytes that are not part of a valid character are returned unchanged.
func (asm *TextAssembler) Add(tok bwmodel.Token) string {
	if asm.stopped {
		return ""
	}
	part := tok.Bytes[min(asm.skipBytes, len(tok.Bytes)):]
	asm.skipBytes = 0
	asm.pending = append(asm.pending, part...)
	asm.tokenSizes = append(asm.tokenSizes, len(part))
	if idx := asm.findStopSequence(); idx >= 0 {
		asm.stopped = true
		return asm.consume(idx)
	}
	return asm.consume(min(completeLength(asm.pending), len(asm.pending)-asm.partialStopLength()))
}

// Flush returns the buffered bytes at the end of the generation; nothing after a
// stop sequence.
func (asm *TextAssembler) Flush() string {
	if asm.stopped {
		return ""
	}
	return asm.consume(len(asm.pending))
}

// Stopped reports whether a stop sequence was found.
func (asm *TextAssembler) Stopped() bool { return asm.stopped }

// findStopSequence returns the index of the first stop sequence in the pending
// bytes, or -1.
func (asm *TextAssembler) findStopSequence() int {
	first := -1
	for _, txt := range asm.stopSequences {
		if idx := bytes.Index(asm.pending, []byte(txt)); idx >= 0 && (first < 0 || idx < first) {
			first = idx
		}
	}
	return first
}

// partialStopLength returns the length of the longest suffix of the pending bytes
// that is the beginning of a stop sequence.
func (asm *TextAssembler) partialStopLength() int {
	longest := 0
	for _, txt := range asm.stopSequences {
		for size := min(len(txt)-1, len(asm.pending)); size > longest; size-- {
			if bytes.HasSuffix(asm.pending, []byte(txt[:size])) {
				longest = size
			}
		}
	}
	return longest
}

// Cursor returns the end of the text returned so far.
func (asm *TextAssembler) Cursor() Cursor { return asm.cursor }

// consume removes the first size pending bytes and returns them.
func (asm *TextAssembler) consume(size int) string {
	txt := string(asm.pending[:size])
	asm.pending = append(asm.pending[:0], asm.pending[size:]...)
	for len(asm.tokenSizes) > 0 && asm.tokenSizes[0] <= size {
		size -= asm.tokenSizes[0]
		asm.tokenSizes = asm.tokenSizes[1:]
		asm.cursor = Cursor{Position: asm.cursor.Position + 1}
	}
	if size > 0 {
		asm.tokenSizes[0] -= size
		asm.cursor.Offset += size
	}
	return txt
}

// completeLength returns the length of buf without an incomplete character at its end.
func completeLength(buf []byte) int {
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
