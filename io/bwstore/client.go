package bwstore

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/aws/aws-sdk-go-v2/aws"
	"github.com/aws/aws-sdk-go-v2/credentials"
	"github.com/aws/aws-sdk-go-v2/service/dynamodb"
	"github.com/aws/aws-sdk-go-v2/service/s3"
)

// Client bundles the clients of the platform's three services.
type Client struct {
	Table   *Table
	Objects *Objects
	List    *List
	web     *http.Client
}

// Config configures a Client.
type Config struct {
	// Table, Objects and List are where the services listen. Only the services
	// that are set get a client.
	Table   netip.AddrPort
	Objects netip.AddrPort
	List    netip.AddrPort
	// Region and the keys sign requests to the table and the object store.
	Region    string
	AccessKey string
	SecretKey string
	TableName string
	Bucket    string
	// Timeout bounds one request; 0 means 2 s.
	Timeout time.Duration
	// Dial replaces TCP, for tests that break connections; nil means TCP.
	Dial func(ctx context.Context, addr netip.AddrPort) (net.Conn, error)
}

const (
	defaultTimeout = 2 * time.Second
	maxIdleConns   = 16
)

// New returns clients without connections, or an error that names a missing field.
func New(cfg Config) (*Client, error) {
	if cfg.Timeout == 0 {
		cfg.Timeout = defaultTimeout
	}
	if cfg.Table.IsValid() && cfg.TableName == "" {
		return nil, errors.New("field TableName is required with Table")
	}
	if cfg.Objects.IsValid() && cfg.Bucket == "" {
		return nil, errors.New("field Bucket is required with Objects")
	}
	transport := &http.Transport{MaxIdleConnsPerHost: maxIdleConns, IdleConnTimeout: time.Minute}
	if cfg.Dial != nil {
		transport.DialContext = cfg.dial
	}
	cl := &Client{web: &http.Client{Timeout: cfg.Timeout, Transport: transport}}
	creds := credentials.NewStaticCredentialsProvider(cfg.AccessKey, cfg.SecretKey, "")
	if cfg.Table.IsValid() {
		cl.Table = &Table{name: cfg.TableName, api: dynamodb.New(dynamodb.Options{
			BaseEndpoint: aws.String(base(cfg.Table)),
			Region:       cfg.Region,
			Credentials:  creds,
			HTTPClient:   cl.web,
			Retryer:      aws.NopRetryer{},
		})}
	}
	if cfg.Objects.IsValid() {
		cl.Objects = &Objects{bucket: cfg.Bucket, api: s3.New(s3.Options{
			BaseEndpoint:               aws.String(base(cfg.Objects)),
			Region:                     cfg.Region,
			Credentials:                creds,
			HTTPClient:                 cl.web,
			Retryer:                    aws.NopRetryer{},
			UsePathStyle:               true,
			RequestChecksumCalculation: aws.RequestChecksumCalculationWhenRequired,
			ResponseChecksumValidation: aws.ResponseChecksumValidationWhenRequired,
		})}
	}
	if cfg.List.IsValid() {
		cl.List = &List{web: cl.web, url: base(cfg.List) + listPath}
	}
	return cl, nil
}

// Close closes the idle connections.
func (cl *Client) Close() { cl.web.CloseIdleConnections() }

// dial connects to an address that is always an IP address and a port.
func (cfg Config) dial(ctx context.Context, _, txt string) (net.Conn, error) {
	addr, err := netip.ParseAddrPort(txt)
	if err != nil {
		return nil, err
	}
	return cfg.Dial(ctx, addr)
}

func base(addr netip.AddrPort) string { return "http://" + addr.String() }
