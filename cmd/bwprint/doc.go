// Package bwprint prints the results of commands as text or JSON.
package bwprint
