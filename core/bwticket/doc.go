// Package bwticket checks change tickets, decides on their acceptance and applies them to an immutable state.
package bwticket
