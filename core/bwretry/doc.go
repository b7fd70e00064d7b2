// Package bwretry bounds retries and hedged requests.
package bwretry
