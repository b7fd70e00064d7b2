// Package bwlease takes, renews and checks leases, and guards upstreams with fencing numbers.
package bwlease
