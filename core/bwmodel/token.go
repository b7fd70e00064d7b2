package bwmodel

// TokenID is the index of a token in a model's vocabulary.
type TokenID uint32

// Token is one token of a generation's output.
type Token struct {
	ID TokenID
	// Bytes is the token's part of the text. A character may span several tokens.
	Bytes []byte
}

// FinishReason is the reason why a generation ended, as the completions protocol
// names it.
type FinishReason string

// Reasons why a generation ended.
const (
	FinishStop   FinishReason = "stop"
	FinishLength FinishReason = "length"
)
