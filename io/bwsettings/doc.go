// Package bwsettings loads and checks the settings of a process.
package bwsettings
