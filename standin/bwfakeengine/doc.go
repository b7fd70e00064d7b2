// Package bwfakeengine is a stand-in for a model engine, with faults to order.
package bwfakeengine
