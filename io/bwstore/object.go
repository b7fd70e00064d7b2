package bwstore

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/aws/aws-sdk-go-v2/service/s3"
)

// Objects is a client of one bucket of the platform's object store.
type Objects struct {
	obs    observer
	api    *s3.Client
	bucket string
}

// Put stores an object, or returns ErrOutcomeUnknown, ErrUnavailable or ErrInvalid.
func (obj *Objects) Put(ctx context.Context, name string, body []byte) error {
	start := time.Now()
	err := obj.put(ctx, name, body)
	obj.obs.report(ObjectsStore, "Put", start, err)
	return err
}

func (obj *Objects) put(ctx context.Context, name string, body []byte) error {
	_, err := obj.api.PutObject(ctx, &s3.PutObjectInput{Bucket: &obj.bucket, Key: &name, Body: bytes.NewReader(body)})
	if err != nil {
		return writeError("put object "+name, err)
	}
	return nil
}

// Get returns an object, or nil if it doesn't exist. Its errors are ErrUnavailable
// and ErrInvalid.
func (obj *Objects) Get(ctx context.Context, name string) ([]byte, error) {
	start := time.Now()
	val, err := obj.get(ctx, name)
	obj.obs.report(ObjectsStore, "Get", start, err)
	return val, err
}

func (obj *Objects) get(ctx context.Context, name string) ([]byte, error) {
	out, err := obj.api.GetObject(ctx, &s3.GetObjectInput{Bucket: &obj.bucket, Key: &name})
	if statusOf(err) == http.StatusNotFound {
		return nil, nil
	}
	if err != nil {
		return nil, readError("get object "+name, err)
	}
	body, err := io.ReadAll(out.Body)
	if err = errors.Join(err, out.Body.Close()); err != nil {
		return nil, readError("get object "+name, err)
	}
	return body, nil
}
