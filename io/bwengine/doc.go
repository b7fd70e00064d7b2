// Package bwengine talks to model engines and plain services.
package bwengine
