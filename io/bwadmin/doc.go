// Package bwadmin implements the administration API for operators, and its client.
package bwadmin
