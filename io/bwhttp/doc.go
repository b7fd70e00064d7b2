// Package bwhttp serves and reads JSON, server-sent events and problem details over HTTP.
package bwhttp
