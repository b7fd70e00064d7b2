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

	"bilberrywick/io/bwtransport"
)

// Client holds the clients of the platform's three services. A client that isn't
// configured is nil.
type Client struct {
	Table      *Table
	Objects    *Objects
	List       *VMListClient
	httpClient *http.Client
}

// Config configures a Client.
type Config struct {
	// Table, Objects and List are the addresses of the services. A service without
	// an address gets no client.
	Table   netip.AddrPort
	Objects netip.AddrPort
	List    netip.AddrPort
	// SecureTable, SecureObjects and SecureList enable HTTPS for the service.
	SecureTable   bool
	SecureObjects bool
	SecureList    bool
	// ListPath is the path of the VM list; empty means /v1/vms.
	ListPath string
	// Region, ObjectsRegion, AccessKey and SecretKey sign the requests to the table
	// and the object store. An empty ObjectsRegion means Region.
	Region        string
	ObjectsRegion string
	AccessKey     string
	SecretKey     string
	TableName     string
	Bucket        string
	// Timeout limits one request; 0 means 2 s.
	Timeout time.Duration
	// Dial opens connections; nil means TCP. Tests replace it to inject connection failures.
	Dial func(ctx context.Context, addr netip.AddrPort) (net.Conn, error)
	// Observe is called after each request; it may be nil.
	Observe func(res RequestResult)
}

// RequestResult describes a completed request to the platform.
type RequestResult struct {
	// Store is Table, Objects or VMList.
	Store     string
	Operation string
	Duration  time.Duration
	Err       error
}

// Values of RequestResult.Store.
const (
	TableStore   = "Table"
	ObjectsStore = "Objects"
	VMListStore  = "VMList"
)

// observer reports completed requests to Config.Observe.
type observer struct{ observe func(RequestResult) }

// report reports a request that started at start and has just ended.
func (obs observer) report(store, operation string, start time.Time, err error) {
	if obs.observe != nil {
		obs.observe(RequestResult{Store: store, Operation: operation, Duration: time.Since(start), Err: err})
	}
}

const (
	defaultTimeout = 2 * time.Second
	maxIdleConns   = 16
)

// New returns a client without opening connections, or an error that names a
// missing field.
func New(cfg Config) (*Client, error) {
	if cfg.Timeout == 0 {
		cfg.Timeout = defaultTimeout
	}
	if cfg.ObjectsRegion == "" {
		cfg.ObjectsRegion = cfg.Region
	}
	if cfg.ListPath == "" {
		cfg.ListPath = defaultListPath
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
	cl := &Client{httpClient: &http.Client{Timeout: cfg.Timeout, Transport: bwtransport.New(bwtransport.Config{Base: transport})}}
	obs := observer{observe: cfg.Observe}
	creds := credentials.NewStaticCredentialsProvider(cfg.AccessKey, cfg.SecretKey, "")
	if cfg.Table.IsValid() {
		cl.Table = &Table{obs: obs, name: cfg.TableName, api: dynamodb.New(dynamodb.Options{
			BaseEndpoint: aws.String(baseURL(cfg.Table, cfg.SecureTable)),
			Region:       cfg.Region,
			Credentials:  creds,
			HTTPClient:   cl.httpClient,
			Retryer:      aws.NopRetryer{},
		})}
	}
	if cfg.Objects.IsValid() {
		cl.Objects = &Objects{obs: obs, bucket: cfg.Bucket, api: s3.New(s3.Options{
			BaseEndpoint:               aws.String(baseURL(cfg.Objects, cfg.SecureObjects)),
			Region:                     cfg.ObjectsRegion,
			Credentials:                creds,
			HTTPClient:                 putClient{http: cl.httpClient},
			Retryer:                    aws.NopRetryer{},
			UsePathStyle:               true,
			RequestChecksumCalculation: aws.RequestChecksumCalculationWhenRequired,
			ResponseChecksumValidation: aws.ResponseChecksumValidationWhenRequired,
		})}
	}
	if cfg.List.IsValid() {
		cl.List = &VMListClient{obs: obs, httpClient: cl.httpClient, url: baseURL(cfg.List, cfg.SecureList) + cfg.ListPath}
	}
	return cl, nil
}

// Close closes the idle connections.
func (cl *Client) Close() { cl.httpClient.CloseIdleConnections() }

// dial calls Dial with the address, which is always an IP address and a port.
func (cfg Config) dial(ctx context.Context, _, txt string) (net.Conn, error) {
	addr, err := netip.ParseAddrPort(txt)
	if err != nil {
		return nil, err
	}
	return cfg.Dial(ctx, addr)
}

func baseURL(addr netip.AddrPort, secure bool) string {
	if secure {
		return "https://" + addr.String()
	}
	return "http://" + addr.String()
}
