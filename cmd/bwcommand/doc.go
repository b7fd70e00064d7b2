// Package bwcommand holds the operators' commands of the program bilberrywick.
package bwcommand
