// Package bwhttp implements a server and a client for JSON, server-sent events and problem
// details over HTTP, and authenticates requests by their bearer key.
package bwhttp
