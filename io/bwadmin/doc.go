// Package bwadmin serves the administration API.
package bwadmin
