// Package bwfakeengine is a stand-in for a model engine with fault injection.
package bwfakeengine
