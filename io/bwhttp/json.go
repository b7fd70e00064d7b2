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

// Content types of requests and responses.
const (
	JSONContentType        = "application/json"
	EventStreamContentType = "text/event-stream"
)

// RequestError is the error for a request that is refused before it runs. Status
// is the status of the response.
type RequestError struct {
	Status int
	Err    error
}

// Error returns the text of the cause.
func (err *RequestError) Error() string { return err.Err.Error() }

// Unwrap returns the cause.
func (err *RequestError) Unwrap() error { return err.Err }

// Handler serves one route with typed requests and JSON responses.
type Handler[Req, Rsp any] struct {
	// Read returns the request. Its errors are passed to ErrorHandler.
	Read func(*http.Request) (*Req, error)
	// Serve returns the response. Its errors are passed to ErrorHandler.
	Serve func(context.Context, *Req) (*Rsp, error)
	// Status is the status of a successful response; 0 means 200.
	Status int
	// ErrorHandler writes the response for an error.
	ErrorHandler func(http.ResponseWriter, *http.Request, error)
}

// ServeHTTP reads the request, serves it and writes the response.
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

// ReadJSON returns a function for Handler.Read that reads JSON requests. decode
// converts the body to a request; its errors get status 400.
func ReadJSON[Req any](decode func([]byte) (*Req, error)) func(*http.Request) (*Req, error) {
	return func(rq *http.Request) (*Req, error) {
		if err := checkContentType(rq.Header.Get("Content-Type"), JSONContentType); err != nil {
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

// ReadNoInput returns an empty request, for routes without input.
func ReadNoInput(*http.Request) (*struct{}, error) { return &struct{}{}, nil }

// ReadBody returns the complete body, or a *RequestError. Server limits the body's
// size and the time to read it.
func ReadBody(rq *http.Request) ([]byte, error) {
	body, err := io.ReadAll(rq.Body)
	if err != nil {
		return nil, bodyError(err)
	}
	return body, nil
}

// DecodeJSON decodes one JSON value into a new T. It ignores unknown fields, since
// clients of common protocols send fields that only some servers support.
func DecodeJSON[T any](data []byte) (*T, error) {
	if !utf8.Valid(data) {
		// encoding/json would replace invalid bytes and so change the caller's text.
		return nil, errors.New("the body is not UTF-8")
	}
	val := new(T)
	if err := json.Unmarshal(data, val); err != nil {
		return nil, fmt.Errorf("the body is not the JSON wanted: %w", err)
	}
	return val, nil
}

// EncodeJSON returns val as JSON. It doesn't escape <, > and &, so that text is
// forwarded without changes.
func EncodeJSON(val any) ([]byte, error) {
	var buf bytes.Buffer
	enc := json.NewEncoder(&buf)
	enc.SetEscapeHTML(false)
	if err := enc.Encode(val); err != nil {
		return nil, fmt.Errorf("encode JSON: %w", err)
	}
	return buf.Bytes(), nil
}

// WriteJSON writes a response with a status and val as JSON. If val can't be
// encoded, it returns the error and writes nothing. It ignores errors of the
// write, since they mean that the caller has disconnected.
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

func checkContentType(got, want string) error {
	media, _, _ := strings.Cut(got, ";")
	if got != "" && !strings.EqualFold(strings.TrimSpace(media), want) {
		return &RequestError{
			Status: http.StatusUnsupportedMediaType,
			Err:    fmt.Errorf("content type %q, want %s", got, want),
		}
	}
	return nil
}
