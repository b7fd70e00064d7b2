package bwrouter

import (
	"bilberrywick/core/bwmodel"
)

// prefix returns the hashes of a generation's blocks that engines may have cached.
// They come from the tokens once an engine has returned them, and before that from
// earlier prompts that began with the same text.
func (ses *session) prefix() []uint64 {
	prompt := ses.rec.PromptTokens()
	if len(prompt) == 0 {
		return ses.gns.prefixIndex.Lookup(promptParts(ses.rec.Spec())...)
	}
	ids := make([]bwmodel.TokenID, 0, len(prompt)+len(ses.rec.Tokens()))
	ids = append(ids, prompt...)
	for _, tok := range ses.rec.Tokens() {
		ids = append(ids, tok.ID)
	}
	return ses.gns.cfg.BlockHashes(ids)
}

// recordPrompt stores the prompt's tokens that an engine returned.
func (ses *session) recordPrompt(ids []bwmodel.TokenID) {
	if len(ids) == 0 {
		return
	}
	if len(ses.rec.PromptTokens()) == 0 {
		ses.gns.prefixIndex.Record(ses.gns.cfg.BlockHashes(ids), promptParts(ses.rec.Spec())...)
	}
	ses.rec.SetPromptTokens(ids)
}

// promptParts returns the texts that determine a prompt's tokens.
func promptParts(spec bwmodel.GenerationSpec) []string {
	parts := make([]string, 0, 2+2*len(spec.Messages))
	parts = append(parts, spec.Model)
	for _, msg := range spec.Messages {
		parts = append(parts, msg.Role, msg.Content)
	}
	if len(spec.Messages) == 0 {
		parts = append(parts, spec.Prompt)
	}
	return parts
}
