// Package bwengine implements clients of model engines and plain services.
package bwengine
