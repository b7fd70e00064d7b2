// Package bwfakestore is a stand-in for the platform's table service, object store and VM list with fault injection.
package bwfakestore
