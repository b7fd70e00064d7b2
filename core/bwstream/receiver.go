package bwstream

import (
	"bytes"
	"errors"

	"bilberrywick/core/bwmodel"
)

// Errors of a Receiver.
var (
	// ErrStaleAttempt is returned for an attempt that is not the current one.
	ErrStaleAttempt = errors.New("tokens of an attempt that is not the current one")
	// ErrGap is returned when tokens before the position are missing.
	ErrGap = errors.New("tokens after a gap")
	// ErrMismatch is returned when an overlap differs from the accepted tokens.
	ErrMismatch = errors.New("tokens differ from those taken before")
)

// Receiver accepts each position of a generation once, from the current attempt only.
type Receiver struct {
	attempt bwmodel.Attempt
	tokens  []bwmodel.Token
}

// NewReceiver returns a receiver with tokens that were accepted before, without a
// current attempt.
func NewReceiver(issued []bwmodel.Token) *Receiver {
	return &Receiver{tokens: issued[:len(issued):len(issued)]}
}

// BeginAttempt makes an attempt the current one, or returns ErrStaleAttempt when its
// number is not higher than the current one's.
func (rcv *Receiver) BeginAttempt(att bwmodel.Attempt) error {
	if att <= rcv.attempt {
		return ErrStaleAttempt
	}
	rcv.attempt = att
	return nil
}

// AcceptTokens appends the tokens of an attempt from a position on and returns the new
// ones; an overlap is compared and dropped. Its errors are ErrStaleAttempt, ErrGap
// and ErrMismatch.
func (rcv *Receiver) AcceptTokens(att bwmodel.Attempt, pos bwmodel.Position, toks []bwmodel.Token) ([]bwmodel.Token, error) {
	if att != rcv.attempt {
		return nil, ErrStaleAttempt
	}
	fresh, err := trimOverlap(rcv.tokens, pos, toks)
	if err != nil {
		return nil, err
	}
	rcv.tokens = append(rcv.tokens, fresh...)
	return fresh, nil
}

// Attempt returns the current attempt's number, 0 before the first.
func (rcv *Receiver) Attempt() bwmodel.Attempt { return rcv.attempt }

// Position returns the next position to accept.
func (rcv *Receiver) Position() bwmodel.Position { return bwmodel.Position(len(rcv.tokens)) }

// Tokens returns all accepted tokens; the caller must not change them.
func (rcv *Receiver) Tokens() []bwmodel.Token {
	return rcv.tokens[:len(rcv.tokens):len(rcv.tokens)]
}

// trimOverlap compares the part of toks that overlaps held and returns the rest.
func trimOverlap(held []bwmodel.Token, pos bwmodel.Position, toks []bwmodel.Token) ([]bwmodel.Token, error) {
	if pos > bwmodel.Position(len(held)) {
		return nil, ErrGap
	}
	overlap := min(len(held)-int(pos), len(toks))
	for ix, tok := range toks[:overlap] {
		old := held[int(pos)+ix]
		if old.ID != tok.ID || !bytes.Equal(old.Bytes, tok.Bytes) {
			return nil, ErrMismatch
		}
	}
	return toks[overlap:], nil
}
