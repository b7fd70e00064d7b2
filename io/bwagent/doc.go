// Package bwagent implements the agent process, a sidecar of one upstream.
package bwagent
