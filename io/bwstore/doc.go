// Package bwstore talks to the platform's table service, object store and VM list.
package bwstore
