package bwstore

import (
	"bytes"
	"errors"
	"io"
	"net/http"
)

// maxPutResponseBytes is far above the body of a response to PutObject, which is empty or
// has an error.
const maxPutResponseBytes = 1 << 20

var errPutResponseTooLong = errors.New("response to a write is too long")

// putClient sends the requests of the object store's SDK, which ignores errors of a body
// that it does not need: those of responses to PutObject.
type putClient struct{ http *http.Client }

// Do sends a request. The body of a response to PutObject has been read to its end.
func (pcl putClient) Do(req *http.Request) (*http.Response, error) {
	rsp, err := pcl.http.Do(req)
	if err != nil || req.Method != http.MethodPut {
		return rsp, err
	}
	defer func() { _ = rsp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(rsp.Body, maxPutResponseBytes+1))
	if err != nil {
		return nil, err
	}
	if len(body) > maxPutResponseBytes {
		return nil, errPutResponseTooLong
	}
	rsp.Body = io.NopCloser(bytes.NewReader(body))
	return rsp, nil
}
