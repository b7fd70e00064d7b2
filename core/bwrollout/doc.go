// Package bwrollout decides how the traffic of a service moves from its old version to a
// new one: how many requests each gateway sends to the new version, whether the new
// version is bad, and when the rollout is completed or rolled back.
//
// Exposure is safe for concurrent use by traffic goroutines. Plan, Judge and VersionPolicy
// are values without side effects. Tally and Baseline belong to one goroutine.
// Times on the store's monotonic clock, which all gateways share, are of type
// time.Duration; times on the process's own clock are of type time.Time.
package bwrollout
