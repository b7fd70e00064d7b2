package bwfakestore

import (
	"encoding/xml"
	"io"
	"net/http"
	"sync"
)

// objectService speaks the part of the S3 protocol that the client uses, path style.
type objectService struct {
	gate    gate
	mu      sync.Mutex
	objects map[string][]byte
}

type objectError struct {
	XMLName xml.Name `xml:"Error"`
	Code    string
	Message string
}

// ServeHTTP answers one request of the object store's client.
func (obs *objectService) ServeHTTP(rsp http.ResponseWriter, req *http.Request) {
	goOn, throttled := obs.gate.enter(req)
	if throttled {
		objectRefuse(rsp, http.StatusServiceUnavailable, "SlowDown")
	}
	if !goOn {
		return
	}
	switch req.Method {
	case http.MethodGet:
		obs.get(rsp, req)
	case http.MethodPut:
		obs.put(rsp, req)
	default:
		objectRefuse(rsp, http.StatusMethodNotAllowed, "MethodNotAllowed")
	}
}

func (obs *objectService) get(rsp http.ResponseWriter, req *http.Request) {
	obs.gate.countRead()
	obs.mu.Lock()
	body, ok := obs.objects[req.URL.Path]
	obs.mu.Unlock()
	if !ok {
		objectRefuse(rsp, http.StatusNotFound, "NoSuchKey")
		return
	}
	_, _ = rsp.Write(body)
}

func (obs *objectService) put(rsp http.ResponseWriter, req *http.Request) {
	body, err := io.ReadAll(req.Body)
	if err != nil {
		objectRefuse(rsp, http.StatusBadRequest, "IncompleteBody")
		return
	}
	obs.gate.write(req, func() bool {
		obs.mu.Lock()
		defer obs.mu.Unlock()
		obs.objects[req.URL.Path] = body
		return true
	})
	rsp.WriteHeader(http.StatusOK)
}

func objectRefuse(rsp http.ResponseWriter, status int, code string) {
	rsp.Header().Set("Content-Type", "application/xml")
	rsp.WriteHeader(status)
	_ = xml.NewEncoder(rsp).Encode(objectError{Code: code, Message: code})
}
