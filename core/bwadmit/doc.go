// Package bwadmit decides which request starts next and which is refused.
package bwadmit
