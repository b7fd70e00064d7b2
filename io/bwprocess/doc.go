// Package bwprocess implements the parts that routers and agents share: identity,
// log, metrics, RPC transport, store client, fleet, HTTP listeners and
// administration API.
package bwprocess
