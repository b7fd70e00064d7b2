// Package bwretry limits retries and hedged requests.
package bwretry
