// Package bwadmin serves the administration API to operators and holds its client.
package bwadmin
