package bwforward

import "time"

// origin is long before every time that is compared, so that 0 means long ago.
var origin = time.Now().Add(-100 * 365 * 24 * time.Hour)

// nanos returns a time as nanoseconds since origin, for atomic fields. It counts
// on the monotonic clock, since the time of day may jump.
func nanos(at time.Time) int64 { return int64(at.Sub(origin)) }
