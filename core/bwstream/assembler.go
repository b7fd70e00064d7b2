package bwstream

import (
	"unicode/utf8"

	"bilberrywick/core/bwmodel"
)

// Assembler turns the bytes of tokens into text of whole characters. A
// character whose bytes span several tokens is held back until its last byte.
type Assembler struct {
	mark Mark
	// skip is the number of bytes of the next token that the text has passed already.
	skip int
	// pending starts an unfinished character; spans are the lengths of the
	// tokens' remaining parts that it and later bytes come from.
	pending []byte
	spans   []int
}

// NewAssembler returns an assembler that goes on from a point; the next token
// added is the one at the point's position.
func NewAssembler(from Mark) *Assembler {
	return &Assembler{mark: from, skip: from.Offset}
}

// Add takes the bytes of the next token and returns the text that is complete
// with them. Bytes that can't be part of a character are returned as they are.
func (asm *Assembler) Add(tok bwmodel.Token) string {
	part := tok.Bytes[min(asm.skip, len(tok.Bytes)):]
	asm.skip = 0
	asm.pending = append(asm.pending, part...)
	asm.spans = append(asm.spans, len(part))
	return asm.cut(wholeLength(asm.pending))
}

// Flush returns the bytes of an unfinished character at the generation's end.
func (asm *Assembler) Flush() string { return asm.cut(len(asm.pending)) }

// Mark returns the point that the returned text reaches.
func (asm *Assembler) Mark() Mark { return asm.mark }

func (asm *Assembler) cut(size int) string {
	txt := string(asm.pending[:size])
	asm.pending = append(asm.pending[:0], asm.pending[size:]...)
	for len(asm.spans) > 0 && asm.spans[0] <= size {
		size -= asm.spans[0]
		asm.spans = asm.spans[1:]
		asm.mark = Mark{Position: asm.mark.Position + 1}
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
