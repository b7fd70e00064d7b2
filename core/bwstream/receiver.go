package bwstream

import (
	"bytes"
	"errors"

	"bilberrywick/core/bwmodel"
)

// Reasons why a receiver refuses tokens.
var (
	// ErrStaleAttempt says that another attempt is the current one.
	ErrStaleAttempt = errors.New("tokens of an attempt that is not the current one")
	// ErrGap says that tokens before the position are missing.
	ErrGap = errors.New("tokens after a gap")
	// ErrMismatch says that an overlap differs from what was taken before.
	ErrMismatch = errors.New("tokens differ from those taken before")
)

// Receiver takes each position of a generation once, from the current attempt only.
type Receiver struct {
	attempt bwmodel.Attempt
	tokens  []bwmodel.Token
}

// NewReceiver returns a receiver that has taken the given tokens, without a current attempt.
func NewReceiver(issued []bwmodel.Token) *Receiver {
	return &Receiver{tokens: issued[:len(issued):len(issued)]}
}

// BeginAttempt makes an attempt the current one; a lower or equal number is refused
// with ErrOldAttempt.
func (rcv *Receiver) BeginAttempt(att bwmodel.Attempt) error {
	if att <= rcv.attempt {
		return ErrStaleAttempt
	}
	rcv.attempt = att
	return nil
}

// AcceptTokens returns the part of the tokens that is new; an overlap is compared and dropped.
func (rcv *Receiver) AcceptTokens(att bwmodel.Attempt, pos bwmodel.Position, toks []bwmodel.Token) ([]bwmodel.Token, error) {
	if att != rcv.attempt {
		return nil, ErrStaleAttempt
	}
	fresh, err := extend(rcv.tokens, pos, toks)
	if err != nil {
		return nil, err
	}
	rcv.tokens = append(rcv.tokens, fresh...)
	return fresh, nil
}

// Attempt returns the current attempt's number, 0 before the first.
func (rcv *Receiver) Attempt() bwmodel.Attempt { return rcv.attempt }

// Position returns the next position to take.
func (rcv *Receiver) Position() bwmodel.Position { return bwmodel.Position(len(rcv.tokens)) }

// Tokens returns all tokens taken; the caller must not change them.
func (rcv *Receiver) Tokens() []bwmodel.Token {
	return rcv.tokens[:len(rcv.tokens):len(rcv.tokens)]
}

// extend compares the overlap of toks at pos with held and returns the rest.
func extend(held []bwmodel.Token, pos bwmodel.Position, toks []bwmodel.Token) ([]bwmodel.Token, error) {
	if pos > bwmodel.Position(len(held)) {
		return nil, ErrGap
	}
	over := min(len(held)-int(pos), len(toks))
	for ix, tok := range toks[:over] {
		old := held[int(pos)+ix]
		if old.ID != tok.ID || !bytes.Equal(old.Bytes, tok.Bytes) {
			return nil, ErrMismatch
		}
	}
	return toks[over:], nil
}
