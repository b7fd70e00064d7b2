package bwmodel

import (
	"net/netip"
	"time"
)

// GenerationSpec is the immutable request of a generation.
type GenerationSpec struct {
	Team    TeamID
	Service ServiceID
	Class   WorkClass
	Model   string
	// Prompt is the text of a plain completion.
	Prompt string
	// Messages are the messages of a chat completion; empty for a plain one.
	Messages    []ChatMessage
	MaxTokens   int
	Temperature float64
	Seed        int64
	Stop        []string
	Created     time.Time
}

// ChatMessage is one message of a chat.
type ChatMessage struct {
	Role    string
	Content string
}

// GenerationRecord holds everything needed to continue a generation on another
// upstream or router.
type GenerationRecord struct {
	Request      RequestID
	Epoch        Epoch
	Attempt      Attempt
	Spec         GenerationSpec
	PromptTokens []TokenID
	// Issued lists the output tokens so far.
	Issued []Token
	// Agent is the address of the agent that runs the current attempt.
	Agent  netip.AddrPort
	Finish FinishReason
}
