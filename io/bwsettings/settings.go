package bwsettings

import (
	"encoding/hex"
	"errors"
	"fmt"
	"log/slog"
	"net/netip"
	"os"
	"time"

	"bilberrywick/core/bwmodel"
)

// Router holds the settings of a router.
type Router struct {
	Identity Identity
	// Callers is where the router serves callers.
	Callers CallerListener
	// Peers is where the router serves other routers and agents.
	Peers PeerListener
	// Operators is where the router serves administration, metrics and profiles.
	Operators OperatorListener
	// SeedPeers are the addresses of peers that are asked for members and tickets at start.
	SeedPeers []netip.AddrPort
	Platform  Platform
	// DrainTime is how long a stopping router lets open generations end.
	DrainTime time.Duration `default:"30s" min:"0s"`
	Placement Placement
	Log       Log
}

// Placement bounds the placement of models on engines.
type Placement struct {
	// WeightBytesPerSecond is the part of the weight store's rate that the loads
	// of one service in one region may use; it is the same for all routers.
	WeightBytesPerSecond int64 `default:"1073741824" min:"1"`
}

// Agent holds the settings of an agent.
type Agent struct {
	Identity Identity
	// Peers is where the agent serves routers.
	Peers     PeerListener
	Operators OperatorListener
	// Upstream is the engine or plain service beside the agent.
	Upstream  UpstreamSettings
	SeedPeers []netip.AddrPort
	Platform  Platform
	// DrainTime is how long a stopping agent lets work in progress end.
	DrainTime time.Duration `default:"30s" min:"0s"`
	Log       Log
}

// Common holds the settings that routers and agents have in common.
type Common struct {
	Identity  Identity
	Peers     PeerListener
	Operators OperatorListener
	SeedPeers []netip.AddrPort
	Platform  Platform
	DrainTime time.Duration
	Log       Log
}

// Common returns the settings that routers and agents have in common.
func (rt *Router) Common() Common {
	return Common{rt.Identity, rt.Peers, rt.Operators, rt.SeedPeers, rt.Platform, rt.DrainTime, rt.Log}
}

// Common returns the settings that routers and agents have in common.
func (ag *Agent) Common() Common {
	return Common{ag.Identity, ag.Peers, ag.Operators, ag.SeedPeers, ag.Platform, ag.DrainTime, ag.Log}
}

// Identity says which member the process is.
type Identity struct {
	ID     bwmodel.MemberID `required:"true"`
	Region bwmodel.RegionID `required:"true"`
	Zone   bwmodel.ZoneID   `required:"true"`
}

// CallerListener is the listener for callers.
type CallerListener struct {
	Address netip.AddrPort `required:"true"`
	// TLS secures the listener; without it callers' keys cross the network in clear text.
	TLS    *TLSFiles
	Bounds Limits
}

// PeerListener is the listener for the system's other processes.
type PeerListener struct {
	Address netip.AddrPort `required:"true"`
	// Advertise is the address that other processes dial; Address when it is not set.
	Advertise netip.AddrPort
	// TLS is used in both directions, and each side verifies the other.
	TLS *MutualTLSFiles
}

// OperatorListener is the listener for administration, metrics and profiles.
type OperatorListener struct {
	Address netip.AddrPort `required:"true"`
	TLS     *TLSFiles
	Keys    []OperatorKey
	Bounds  Limits
}

// OperatorKey is a key that an operator presents.
type OperatorKey struct {
	// Name says whose key it is; it appears in the log.
	Name string `required:"true"`
	// SHA256 is the key's hash in hexadecimal digits.
	SHA256 string `required:"true"`
	// NotAfter ends the key's validity; without it the key has no end.
	NotAfter time.Time
}

// Hash returns the key's hash, or an error when it is not 64 hexadecimal digits.
func (key OperatorKey) Hash() ([32]byte, error) {
	sum, err := hex.DecodeString(key.SHA256)
	if err != nil || len(sum) != 32 {
		return [32]byte{}, errors.New("want 64 hexadecimal digits")
	}
	return [32]byte(sum), nil
}

// TLSFiles names the PEM files of a server's certificate.
type TLSFiles struct {
	CertificateFile string `required:"true"`
	KeyFile         string `required:"true"`
}

// MutualTLSFiles names the PEM files of a process's certificate and of the
// authority that signed those of its peers.
type MutualTLSFiles struct {
	CertificateFile string `required:"true"`
	KeyFile         string `required:"true"`
	AuthorityFile   string `required:"true"`
	// PeerName is the DNS name that each process's certificate carries; addresses
	// of VMs change too often to be in certificates.
	PeerName string `default:"bilberrywick"`
}

// Limits keep one caller from holding up others.
type Limits struct {
	// HeaderBytes bounds a request's head.
	HeaderBytes int `default:"32768" min:"1024" max:"1048576"`
	// BodyBytes bounds a request's body.
	BodyBytes int64 `default:"4194304" min:"1024" max:"67108864"`
	// BodyMemoryBytes bounds the bodies of all requests in progress on the listener.
	BodyMemoryBytes int64 `default:"268435456" min:"1048576"`
	// Streams bounds the requests in progress on the listener; a router serves about 300 at peak.
	Streams int `default:"4096" min:"1"`
	// Connections bounds the open connections of the listener.
	Connections int `default:"8192" min:"1"`
	// HeaderTimeout bounds the reading of a request's head.
	HeaderTimeout time.Duration `default:"5s" min:"10ms"`
	// BodyTimeout bounds the reading of a request's head and body.
	BodyTimeout time.Duration `default:"30s" min:"10ms"`
	// IdleTimeout closes a connection that carries no request.
	IdleTimeout time.Duration `default:"2m" min:"10ms"`
	// WriteTimeout bounds each write to a caller that does not read.
	WriteTimeout time.Duration `default:"10s" min:"10ms"`
}

// Platform says how to reach the platform's stores and VM list.
type Platform struct {
	Table       Table
	Objects     ObjectStore
	VMList      VMList
	Credentials Credentials
	// Timeout bounds one request to the platform.
	Timeout time.Duration `default:"2s" min:"10ms"`
}

// Table is the transactional table service.
type Table struct {
	Address netip.AddrPort `required:"true"`
	// Secure uses HTTPS.
	Secure bool
	Name   string `default:"bilberrywick"`
	// SigningRegion is the region name in signatures.
	SigningRegion string `default:"local"`
}

// ObjectStore is the platform's object store.
type ObjectStore struct {
	Address       netip.AddrPort `required:"true"`
	Secure        bool
	Bucket        string `default:"bilberrywick"`
	SigningRegion string `default:"local"`
}

// VMList is the platform's list of VMs.
type VMList struct {
	Address netip.AddrPort `required:"true"`
	Secure  bool
	Path    string `default:"/v1/vms"`
	// Interval is the time between two readings.
	Interval time.Duration `default:"2s" min:"100ms"`
}

// Credentials sign requests to the platform.
type Credentials struct {
	AccessKeyID string `required:"true"`
	// SecretKey is the key itself, and SecretKeyFile a file that holds it; one of them is set.
	SecretKey     string
	SecretKeyFile string
}

// Secret returns the secret key, or an error when its file can't be read.
func (crd Credentials) Secret() (string, error) {
	if crd.SecretKeyFile == "" {
		return crd.SecretKey, nil
	}
	data, err := os.ReadFile(crd.SecretKeyFile)
	if err != nil {
		return "", fmt.Errorf("secret key: %w", err)
	}
	return string(trimNewline(data)), nil
}

// UpstreamSettings describe the engine or plain service beside an agent.
type UpstreamSettings struct {
	Name    bwmodel.UpstreamID `required:"true"`
	Service bwmodel.ServiceID  `required:"true"`
	Kind    string             `required:"true" oneof:"Model,Plain"`
	Address netip.AddrPort     `required:"true"`
	// ChecksFence says that the upstream itself refuses an old fencing number.
	ChecksFence bool
	// Slots is the number of requests that the upstream runs at a time.
	Slots int `default:"16" min:"1"`
}

// ServiceKind returns the kind of the upstream's service; it is valid in
// settings that were loaded.
func (ups UpstreamSettings) ServiceKind() bwmodel.ServiceKind {
	kind, _ := bwmodel.ParseServiceKind(ups.Kind)
	return kind
}

// Log configures the log.
type Log struct {
	Level string `default:"Info" oneof:"Debug,Info,Warn,Error"`
}

// SlogLevel returns the level for log/slog; it is valid in settings that were loaded.
func (lg Log) SlogLevel() slog.Level {
	var lvl slog.Level
	_ = lvl.UnmarshalText([]byte(lg.Level))
	return lvl
}

func trimNewline(data []byte) []byte {
	for len(data) > 0 && (data[len(data)-1] == '\n' || data[len(data)-1] == '\r') {
		data = data[:len(data)-1]
	}
	return data
}
