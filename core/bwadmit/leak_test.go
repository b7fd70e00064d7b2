package bwadmit_test

import (
	"testing"

	"go.uber.org/goleak"
)

// Guards against goroutines of a queue or a waiting request that leak from a test.
func TestMain(mn *testing.M) { goleak.VerifyTestMain(mn) }
