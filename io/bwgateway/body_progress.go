package bwgateway

import (
	"io"
	"net/http"
	"time"
)

// bodyStallTime is the time without a byte of a body after which the connection is closed.
// Callers on slow links send a part of it every few hundred milliseconds, and TCP repeats
// a lost segment three times within it.
const bodyStallTime = 4 * time.Second

// progressReader reads a body up to a time, if some of it arrives within each
// bodyStallTime.
type progressReader struct {
	src io.Reader
	ctl *http.ResponseController
	end time.Time
}

// Read reads a part of the body.
func (prd *progressReader) Read(buf []byte) (int, error) {
	// Only a test's recorder doesn't support deadlines, and it never blocks.
	_ = prd.ctl.SetReadDeadline(earliest(prd.end, time.Now().Add(bodyStallTime)))
	return prd.src.Read(buf)
}
