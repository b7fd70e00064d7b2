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
	List    *VMListClient
	web     *http.Client
}

// Config configures a Client.
type Config struct {
	// Table, Objects and List are where the services listen. Only the services
	// that are set get a client.
	Table   netip.AddrPort
	Objects netip.AddrPort
	List    netip.AddrPort
	// SecureTable, SecureObjects and SecureList use HTTPS.
	SecureTable   bool
	SecureObjects bool
	SecureList    bool
	// ListPath is the path of the VM list; empty means /v1/vms.
	ListPath string
	// Region, ObjectsRegion and the keys sign requests to the table and the object
	// store; an empty ObjectsRegion means Region.
	Region        string
	ObjectsRegion string
	AccessKey     string
	SecretKey     string
	TableName     string
	Bucket        string
	// Timeout bounds one request; 0 means 2 s.
	Timeout time.Duration
	// Dial replaces TCP, for tests that break connections; nil means TCP.
	Dial func(ctx context.Context, addr netip.AddrPort) (net.Conn, error)
	// Observe is told of each request; may be nil.
	Observe func(req RequestResult)
}

// RequestResult is what became of one request to the platform.
type RequestResult struct {
	// Store is Table, Objects or VMList.
	Store     string
	Operation string
	Duration  time.Duration
	Err       error
}

// Stores of the platform in Request.
const (
	TableStore   = "Table"
	ObjectsStore = "Objects"
	VMListStore  = "VMList"
)

// observer times requests.
type observer struct{ tell func(RequestResult) }

// done tells of a request that began at a time.
func (obs observer) done(store, operation string, began time.Time, err error) {
	if obs.tell != nil {
		obs.tell(RequestResult{Store: store, Operation: operation, Duration: time.Since(began), Err: err})
	}
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
	if cfg.ObjectsRegion == "" {
		cfg.ObjectsRegion = cfg.Region
	}
	if cfg.ListPath == "" {
		cfg.ListPath = listPath
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
	obs := observer{tell: cfg.Observe}
	creds := credentials.NewStaticCredentialsProvider(cfg.AccessKey, cfg.SecretKey, "")
	if cfg.Table.IsValid() {
		cl.Table = &Table{obs: obs, name: cfg.TableName, api: dynamodb.New(dynamodb.Options{
			BaseEndpoint: aws.String(base(cfg.Table, cfg.SecureTable)),
			Region:       cfg.Region,
			Credentials:  creds,
			HTTPClient:   cl.web,
			Retryer:      aws.NopRetryer{},
		})}
	}
	if cfg.Objects.IsValid() {
		cl.Objects = &Objects{obs: obs, bucket: cfg.Bucket, api: s3.New(s3.Options{
			BaseEndpoint:               aws.String(base(cfg.Objects, cfg.SecureObjects)),
			Region:                     cfg.ObjectsRegion,
			Credentials:                creds,
			HTTPClient:                 cl.web,
			Retryer:                    aws.NopRetryer{},
			UsePathStyle:               true,
			RequestChecksumCalculation: aws.RequestChecksumCalculationWhenRequired,
			ResponseChecksumValidation: aws.ResponseChecksumValidationWhenRequired,
		})}
	}
	if cfg.List.IsValid() {
		cl.List = &VMListClient{obs: obs, web: cl.web, url: base(cfg.List, cfg.SecureList) + cfg.ListPath}
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

func base(addr netip.AddrPort, secure bool) string {
	if secure {
		return "https://" + addr.String()
	}
	return "http://" + addr.String()
}
