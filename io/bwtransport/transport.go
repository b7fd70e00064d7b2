package bwtransport

import (
	"errors"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
)

// Transport is an http.RoundTripper that fails invalid and incomplete responses.
type Transport struct{ base *http.Transport }

// Config configures a Transport.
type Config struct {
	// Base sends the requests. New changes its DialContext, and it must not be used
	// otherwise.
	Base *http.Transport
}

// New returns a Transport without open connections.
func New(cfg Config) *Transport {
	cfg.Base.DialContext = newDial(cfg.Base)
	return &Transport{base: cfg.Base}
}

// RoundTrip sends a request and returns its final response. Its errors are those of
// http.Transport, ErrInvalidStatus and ErrInvalidFieldName; the server may have executed
// the request. Reading the body returns ErrInvalidFieldName for an invalid trailer, and
// ErrIncomplete.
func (trp *Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	upl := newUpload()
	ctx := httptrace.WithClientTrace(req.Context(), &httptrace.ClientTrace{
		GotConn:        upl.begin,
		WroteRequest:   upl.end,
		Got1xxResponse: checkInformational,
	})
	rsp, err := trp.base.RoundTrip(withPlainBody(req.WithContext(ctx)))
	if err != nil {
		return nil, err
	}
	rsp.Request = req
	if err := errors.Join(CheckStatus(rsp.StatusCode), CheckFieldNames(rsp.Header)); err != nil {
		_ = rsp.Body.Close()
		return nil, err
	}
	if rsp.Body != http.NoBody {
		rsp.Body = &body{src: rsp.Body, rsp: rsp, upload: upl}
	}
	return rsp, nil
}

// checkInformational checks the head of an informational response, which http.Transport
// drops.
func checkInformational(_ int, hdr textproto.MIMEHeader) error {
	return CheckFieldNames(http.Header(hdr))
}

// CloseIdleConnections closes the connections that are not in use.
func (trp *Transport) CloseIdleConnections() { trp.base.CloseIdleConnections() }
