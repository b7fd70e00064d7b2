package bwfakeengine

import (
	"strings"

	"bilberrywick/core/bwmodel"
)

// A token of a prompt carries up to three bytes in its number; a token that the
// engine writes names a part of the corpus, so that the next one follows from it.
const (
	corpusBit      = 1 << 31
	corpusOffset   = 4
	lengthMask     = 1<<corpusOffset - 1
	promptShift    = 24
	maxPromptBytes = 3
	maxOutputBytes = 4
	bitsPerByte    = 8
)

// FNV-1a over the tokens, so that every token depends on all before it.
const (
	hashStart = 14695981039346656037
	hashPrime = 1099511628211
)

// Tokenize returns the tokens of a text.
func Tokenize(txt string) []bwmodel.TokenID {
	ids := make([]bwmodel.TokenID, 0, len(txt)/maxPromptBytes+1)
	for len(txt) > 0 {
		size := min(maxPromptBytes, len(txt))
		id := bwmodel.TokenID(size) << promptShift
		for ix := range size {
			id |= bwmodel.TokenID(txt[ix]) << (bitsPerByte * ix)
		}
		ids = append(ids, id)
		txt = txt[size:]
	}
	return ids
}

// Decode returns the bytes of a token.
func Decode(id bwmodel.TokenID) []byte {
	if id&corpusBit != 0 {
		off, size := corpusPart(id)
		return []byte(corpus[off : off+size])
	}
	size := min(int(id>>promptShift), maxPromptBytes)
	buf := make([]byte, size)
	for ix := range buf {
		buf[ix] = byte(id >> (bitsPerByte * ix))
	}
	return buf
}

// Continuation returns the tokens that follow a sequence, for comparison with
// what a caller received.
func Continuation(seq []bwmodel.TokenID, count int) []bwmodel.Token {
	sum := hashTokens(hashStart, seq)
	var last bwmodel.TokenID
	if len(seq) > 0 {
		last = seq[len(seq)-1]
	}
	toks := make([]bwmodel.Token, 0, count)
	for range count {
		last = nextToken(sum, last)
		sum = hashTokens(sum, []bwmodel.TokenID{last})
		toks = append(toks, bwmodel.Token{ID: last, Bytes: Decode(last)})
	}
	return toks
}

func corpusPart(id bwmodel.TokenID) (off, size int) {
	off = int(id&^corpusBit) >> corpusOffset
	size = int(id & lengthMask)
	if off >= len(corpus) {
		return 0, 0
	}
	return off, min(size, len(corpus)-off)
}

func hashTokens(sum uint64, ids []bwmodel.TokenID) uint64 {
	for _, id := range ids {
		sum = (sum ^ uint64(id)) * hashPrime
	}
	return sum
}

// nextToken goes on within a word of the corpus, or starts a word that depends
// on the whole sequence.
func nextToken(sum uint64, last bwmodel.TokenID) bwmodel.TokenID {
	mixed := sum ^ sum>>33
	mixed *= 0xff51afd7ed558ccd
	mixed ^= mixed >> 33
	off := wordAt(int(mixed % uint64(len(corpus))))
	if last&corpusBit != 0 {
		start, size := corpusPart(last)
		if end := start + size; end > 0 && corpus[end-1] != ' ' {
			off = end
		}
	}
	size := 1 + int(mixed>>40)%maxOutputBytes
	if gap := strings.IndexByte(corpus[off:], ' '); gap >= 0 {
		size = min(size, gap+1)
	}
	return corpusBit | bwmodel.TokenID(off)<<corpusOffset | bwmodel.TokenID(size)
}

// wordAt returns the start of the word that holds an offset of the corpus.
func wordAt(off int) int {
	return strings.LastIndexByte(corpus[:off], ' ') + 1
}
