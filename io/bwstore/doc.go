// Package bwstore implements clients of the platform's table service, object store and VM list.
package bwstore
