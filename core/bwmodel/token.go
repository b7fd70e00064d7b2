package bwmodel

// TokenID is an entry of a model's vocabulary.
type TokenID uint32

// Token is one step of a generation's output.
type Token struct {
	ID TokenID
	// Bytes are the token's part of the text; a character may span several tokens.
	Bytes []byte
}

// FinishReason says why a generation ended, in the words of the completions protocol.
type FinishReason string

// Reasons why a generation ended.
const (
	FinishStop   FinishReason = "stop"
	FinishLength FinishReason = "length"
)
