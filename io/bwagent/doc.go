// Package bwagent runs the agent process beside an upstream.
package bwagent
