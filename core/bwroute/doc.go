// Package bwroute chooses the upstream for a request.
package bwroute
