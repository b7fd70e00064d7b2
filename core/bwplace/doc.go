// Package bwplace plans which engine loads which model and has which role.
package bwplace
