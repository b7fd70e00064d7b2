// Package bwplace plans which engine loads which model.
package bwplace
