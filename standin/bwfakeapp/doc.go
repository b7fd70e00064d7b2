// Package bwfakeapp is a stand-in for a plain application service with fault injection.
package bwfakeapp
