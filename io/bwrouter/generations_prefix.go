package bwrouter

import (
	"bilberrywick/core/bwmodel"
)

// prefix returns the hashes of the blocks that engines may have cached of a
// generation: known from the tokens once an engine has returned them, and
// before that from prompts that began with the same text.
func (ses *session) prefix() []uint64 {
	prompt := ses.rec.PromptTokens()
	if len(prompt) == 0 {
		return ses.gns.prefixes.Lookup(promptParts(ses.rec.Spec())...)
	}
	ids := make([]bwmodel.TokenID, 0, len(prompt)+len(ses.rec.Tokens()))
	ids = append(ids, prompt...)
	for _, tok := range ses.rec.Tokens() {
		ids = append(ids, tok.ID)
	}
	return ses.gns.cfg.BlockHashes(ids)
}

// notePrompt takes in a prompt's tokens as an engine returned them.
func (ses *session) notePrompt(ids []bwmodel.TokenID) {
	if len(ids) == 0 {
		return
	}
	if len(ses.rec.PromptTokens()) == 0 {
		ses.gns.prefixes.Record(ses.gns.cfg.BlockHashes(ids), promptParts(ses.rec.Spec())...)
	}
	ses.rec.SetPromptTokens(ids)
}

// promptParts returns the texts that a prompt's tokens depend on.
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
