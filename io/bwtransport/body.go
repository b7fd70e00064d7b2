package bwtransport

import (
	"errors"
	"io"
	"net/http"
)

// body is the body of a response, whose end it checks.
type body struct {
	src    io.ReadCloser
	rsp    *http.Response
	upload *upload
}

// Read reads a part of the body. It returns io.EOF only at the end of a complete one.
func (bdy *body) Read(buf []byte) (int, error) {
	size, err := bdy.src.Read(buf)
	if errors.Is(err, io.EOF) {
		err = bdy.endError()
	}
	return size, err
}

// Close closes the body.
func (bdy *body) Close() error { return bdy.src.Close() }

// endError returns io.EOF, or why the body is not a complete one.
func (bdy *body) endError() error {
	if err := CheckFieldNames(bdy.rsp.Trailer); err != nil {
		return err
	}
	// HTTP/2 and gzip have framing of their own.
	if bdy.rsp.ProtoMajor > 1 || bdy.rsp.Uncompressed || HasFraming(bdy.rsp) {
		return io.EOF
	}
	if err := bdy.upload.wait(bdy.rsp.Request.Context()); err != nil {
		return err
	}
	return io.EOF
}
