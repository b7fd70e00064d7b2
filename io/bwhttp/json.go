package bwhttp

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"unicode/utf8"
)

// Content types that the system reads and writes.
const (
	JSONContentType        = "application/json"
	EventStreamContentType = "text/event-stream"
)

// RequestError says that a request can't be read; the status is the one to answer with.
type RequestError struct {
	Status int
	Err    error
}

// Error returns the reason.
func (err *RequestError) Error() string { return err.Err.Error() }

// Unwrap returns the reason.
func (err *RequestError) Unwrap() error { return err.Err }

// Handler serves one route with typed requests and responses.
type Handler[Req, Rsp any] struct {
	// Read returns the request; its errors go to Fail.
	Read func(*http.Request) (*Req, error)
	// Serve returns the response; its errors go to Fail.
	Serve func(context.Context, *Req) (*Rsp, error)
	// Status is the status of a response; 0 means 200.
	Status int
	// ErrorHandler answers with an error.
	ErrorHandler func(http.ResponseWriter, *http.Request, error)
}

// ServeHTTP reads, serves and answers one request.
func (hd Handler[Req, Rsp]) ServeHTTP(rw http.ResponseWriter, rq *http.Request) {
	req, err := hd.Read(rq)
	if err != nil {
		hd.ErrorHandler(rw, rq, err)
		return
	}
	rsp, err := hd.Serve(rq.Context(), req)
	if err != nil {
		hd.ErrorHandler(rw, rq, err)
		return
	}
	status := hd.Status
	if status == 0 {
		status = http.StatusOK
	}
	if err := WriteJSON(rw, status, rsp); err != nil {
		hd.ErrorHandler(rw, rq, err)
	}
}

// ReadJSON returns a reader of JSON requests for Handler.Read; decode turns
// the body into a request, and its errors are answered with 400.
func ReadJSON[Req any](decode func([]byte) (*Req, error)) func(*http.Request) (*Req, error) {
	return func(rq *http.Request) (*Req, error) {
		if err := checkType(rq.Header.Get("Content-Type"), JSONContentType); err != nil {
			return nil, err
		}
		body, err := ReadBody(rq)
		if err != nil {
			return nil, err
		}
		req, err := decode(body)
		if err != nil {
			return nil, &RequestError{Status: http.StatusBadRequest, Err: err}
		}
		return req, nil
	}
}

// ReadNoInput returns an empty request for routes that take no input.
func ReadNoInput(*http.Request) (*struct{}, error) { return &struct{}{}, nil }

// ReadBody returns the whole body, or a *RequestError; the server has bounded
// its size and the time to read it.
func ReadBody(rq *http.Request) ([]byte, error) {
	body, err := io.ReadAll(rq.Body)
	if err != nil {
		return nil, bodyError(err)
	}
	return body, nil
}

// DecodeJSON reads one JSON value into a new T; unknown fields are ignored, as
// callers of common protocols send fields that only some servers know.
func DecodeJSON[T any](data []byte) (*T, error) {
	if !utf8.Valid(data) {
		// encoding/json would replace the wrong bytes and change the caller's text.
		return nil, errors.New("the body is not UTF-8")
	}
	val := new(T)
	if err := json.Unmarshal(data, val); err != nil {
		return nil, fmt.Errorf("the body is not the JSON wanted: %w", err)
	}
	return val, nil
}

// EncodeJSON returns val as JSON without escaping of <, > and &, so that text
// stays as the caller wrote it.
func EncodeJSON(val any) ([]byte, error) {
	var buf bytes.Buffer
	enc := json.NewEncoder(&buf)
	enc.SetEscapeHTML(false)
	if err := enc.Encode(val); err != nil {
		return nil, fmt.Errorf("encode JSON: %w", err)
	}
	return buf.Bytes(), nil
}

// WriteJSON answers with a status and val as JSON; an error before the first
// byte is written leaves the answer open, one after it returns nil, since the
// caller has gone.
func WriteJSON(rw http.ResponseWriter, status int, val any) error {
	data, err := EncodeJSON(val)
	if err != nil {
		return err
	}
	rw.Header().Set("Content-Type", JSONContentType)
	rw.WriteHeader(status)
	_, _ = rw.Write(data)
	return nil
}

func checkType(got, want string) error {
	media, _, _ := strings.Cut(got, ";")
	if got != "" && !strings.EqualFold(strings.TrimSpace(media), want) {
		return &RequestError{
			Status: http.StatusUnsupportedMediaType,
			Err:    fmt.Errorf("content type %q, want %s", got, want),
		}
	}
	return nil
}
