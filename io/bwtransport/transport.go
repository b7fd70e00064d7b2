package bwtransport

import "net/http"

// Transport is an http.RoundTripper that fails invalid responses.
type Transport struct{ base *http.Transport }

// Config configures a Transport.
type Config struct {
	// Base sends the requests. It must not be used otherwise.
	Base *http.Transport
}

// New returns a Transport without open connections.
func New(cfg Config) *Transport { return &Transport{base: cfg.Base} }

// RoundTrip sends a request and returns its final response. Its errors are those of
// http.Transport and ErrInvalidStatus; the server may have executed the request.
func (trp *Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	rsp, err := trp.base.RoundTrip(req)
	if err != nil {
		return nil, err
	}
	if err := CheckStatus(rsp.StatusCode); err != nil {
		_ = rsp.Body.Close()
		return nil, err
	}
	return rsp, nil
}

// CloseIdleConnections closes the connections that are not in use.
func (trp *Transport) CloseIdleConnections() { trp.base.CloseIdleConnections() }
