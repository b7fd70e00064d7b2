// Package bwstore has clients of the platform's table service, object store and VM list.
package bwstore
