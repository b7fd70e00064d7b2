package bwfakestore

import (
	"encoding/xml"
	"io"
	"net/http"
	"sync"
)

// objectService implements the part of the S3 protocol that the client uses, with
// path-style addressing.
type objectService struct {
	injector faultInjector
	mu       sync.Mutex
	objects  map[string][]byte
}

type objectError struct {
	XMLName xml.Name `xml:"Error"`
	Code    string
	Message string
}

// ServeHTTP handles one GET or PUT of an object.
func (obs *objectService) ServeHTTP(rsp http.ResponseWriter, req *http.Request) {
	proceed, throttled := obs.injector.beginRequest(rsp, req)
	if throttled {
		writeObjectError(rsp, http.StatusServiceUnavailable, "SlowDown")
	}
	if !proceed {
		return
	}
	switch req.Method {
	case http.MethodGet:
		obs.get(rsp, req)
	case http.MethodPut:
		obs.put(rsp, req)
	default:
		writeObjectError(rsp, http.StatusMethodNotAllowed, "MethodNotAllowed")
	}
}

func (obs *objectService) get(rsp http.ResponseWriter, req *http.Request) {
	obs.injector.countRead()
	obs.mu.Lock()
	body, ok := obs.objects[req.URL.Path]
	obs.mu.Unlock()
	if !ok {
		writeObjectError(rsp, http.StatusNotFound, "NoSuchKey")
		return
	}
	_, _ = rsp.Write(body)
}

func (obs *objectService) put(rsp http.ResponseWriter, req *http.Request) {
	body, err := io.ReadAll(req.Body)
	if err != nil {
		writeObjectError(rsp, http.StatusBadRequest, "IncompleteBody")
		return
	}
	obs.injector.runWrite(req, func() bool {
		obs.mu.Lock()
		defer obs.mu.Unlock()
		obs.objects[req.URL.Path] = body
		return true
	})
	rsp.WriteHeader(http.StatusOK)
}

func writeObjectError(rsp http.ResponseWriter, status int, code string) {
	rsp.Header().Set("Content-Type", "application/xml")
	rsp.WriteHeader(status)
	_ = xml.NewEncoder(rsp).Encode(objectError{Code: code, Message: code})
}
