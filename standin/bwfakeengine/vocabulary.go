package bwfakeengine

import (
	"strings"

	"bilberrywick/core/bwmodel"
)

// A prompt token encodes up to three bytes of text in its ID. A generated token
// encodes an offset and a length in the corpus, so that the next token can
// continue the word.
const (
	corpusBit      = 1 << 31
	corpusShift    = 4
	lengthMask     = 1<<corpusShift - 1
	promptShift    = 24
	maxPromptBytes = 3
	maxOutputBytes = 4
	bitsPerByte    = 8
)

// Parameters of FNV-1a over the tokens; the hash makes each generated token depend
// on all tokens before it.
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

// Continuation returns the count tokens that the engine generates after a sequence,
// for comparison with the tokens that a caller received.
func Continuation(seq []bwmodel.TokenID, count int) []bwmodel.Token {
	hash := hashTokens(hashStart, seq)
	var last bwmodel.TokenID
	if len(seq) > 0 {
		last = seq[len(seq)-1]
	}
	toks := make([]bwmodel.Token, 0, count)
	for range count {
		last = nextToken(hash, last)
		hash = hashTokens(hash, []bwmodel.TokenID{last})
		toks = append(toks, bwmodel.Token{ID: last, Bytes: Decode(last)})
	}
	return toks
}

func corpusPart(id bwmodel.TokenID) (off, size int) {
	off = int(id&^corpusBit) >> corpusShift
	size = int(id & lengthMask)
	if off >= len(corpus) {
		return 0, 0
	}
	return off, min(size, len(corpus)-off)
}

func hashTokens(hash uint64, ids []bwmodel.TokenID) uint64 {
	for _, id := range ids {
		hash = (hash ^ uint64(id)) * hashPrime
	}
	return hash
}

// nextToken continues the word of the last token, or starts a word that depends on
// the hash of the whole sequence.
func nextToken(hash uint64, last bwmodel.TokenID) bwmodel.TokenID {
	mixed := hash ^ hash>>33
	mixed *= 0xff51afd7ed558ccd
	mixed ^= mixed >> 33
	off := wordStart(int(mixed % uint64(len(corpus))))
	if last&corpusBit != 0 {
		start, size := corpusPart(last)
		if end := start + size; end > 0 && corpus[end-1] != ' ' {
			off = end
		}
	}
	size := 1 + int(mixed>>40)%maxOutputBytes
	if space := strings.IndexByte(corpus[off:], ' '); space >= 0 {
		size = min(size, space+1)
	}
	return corpusBit | bwmodel.TokenID(off)<<corpusShift | bwmodel.TokenID(size)
}

// wordStart returns the start of the word at an offset of the corpus.
func wordStart(off int) int {
	return strings.LastIndexByte(corpus[:off], ' ') + 1
}
