package bwmodel

import (
	"net/netip"
	"time"
)

// GenerationSpec is what a caller asked for; it never changes.
type GenerationSpec struct {
	Team    TeamID
	Service ServiceID
	Class   WorkClass
	Model   string
	// Prompt is the text of a plain completion.
	Prompt string
	// Messages are the turns of a chat completion; empty for a plain one.
	Messages    []ChatMessage
	MaxTokens   int
	Temperature float64
	Seed        int64
	Stop        []string
	Created     time.Time
}

// ChatMessage is one turn of a chat.
type ChatMessage struct {
	Role    string
	Content string
}

// GenerationRecord is all that is needed to continue a generation.
type GenerationRecord struct {
	Request      RequestID
	Epoch        Epoch
	Attempt      Attempt
	Spec         GenerationSpec
	PromptTokens []TokenID
	Issued       []Token
	// Agent is where the current attempt runs.
	Agent  netip.AddrPort
	Finish FinishReason
}
