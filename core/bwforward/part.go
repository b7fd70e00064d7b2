package bwforward

// PartID identifies a part of a prompt. Prompts that begin with the same parts share
// their KV cache.
type PartID string
