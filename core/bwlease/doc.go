// Package bwlease acquires, renews and checks leases, and rejects orders with a stale fence.
package bwlease
