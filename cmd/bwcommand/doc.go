// Package bwcommand implements the operators' commands of the bilberrywick program.
package bwcommand
