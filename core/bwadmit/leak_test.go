package bwadmit_test

import (
	"testing"

	"go.uber.org/goleak"
)

// Guards against a queue's goroutine, or a waiter, that outlives its test.
func TestMain(mn *testing.M) { goleak.VerifyTestMain(mn) }
