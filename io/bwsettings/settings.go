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
	// Callers configures the listener for callers.
	Callers CallerListener
	// Peers configures the listener for other routers and agents.
	Peers PeerListener
	// Operators configures the listener for administration, metrics and profiles.
	Operators OperatorListener
	// SeedPeers are the addresses of peers from which the router requests the
	// members and tickets at start.
	SeedPeers []netip.AddrPort
	Platform  Platform
	// DrainTime is how long a stopping router waits for open generations to end.
	DrainTime time.Duration `default:"30s" min:"0s"`
	Placement Placement
	Log       Log
}

// Placement limits the placement of models on engines.
type Placement struct {
	// WeightBytesPerSecond is the bandwidth of the weight store, in bytes per
	// second, that the model loads of one service in one region may use. All
	// routers must have the same value.
	WeightBytesPerSecond int64 `default:"1073741824" min:"1"`
}

// Agent holds the settings of an agent.
type Agent struct {
	Identity Identity
	// Peers configures the listener for routers.
	Peers     PeerListener
	Operators OperatorListener
	// Upstream is the engine or plain service to which the agent forwards requests.
	Upstream  UpstreamSettings
	SeedPeers []netip.AddrPort
	Platform  Platform
	// DrainTime is how long a stopping agent waits for work in progress to end.
	DrainTime time.Duration `default:"30s" min:"0s"`
	Log       Log
}

// Common holds the settings that routers and agents share.
type Common struct {
	Identity  Identity
	Peers     PeerListener
	Operators OperatorListener
	SeedPeers []netip.AddrPort
	Platform  Platform
	DrainTime time.Duration
	Log       Log
}

// Common returns the settings that routers and agents share.
func (rt *Router) Common() Common {
	return Common{rt.Identity, rt.Peers, rt.Operators, rt.SeedPeers, rt.Platform, rt.DrainTime, rt.Log}
}

// Common returns the settings that routers and agents share.
func (ag *Agent) Common() Common {
	return Common{ag.Identity, ag.Peers, ag.Operators, ag.SeedPeers, ag.Platform, ag.DrainTime, ag.Log}
}

// Identity identifies the process as a member and gives its location.
type Identity struct {
	ID     bwmodel.MemberID `required:"true"`
	Region bwmodel.RegionID `required:"true"`
	Zone   bwmodel.ZoneID   `required:"true"`
}

// CallerListener configures the listener for callers.
type CallerListener struct {
	Address netip.AddrPort `required:"true"`
	// TLS enables TLS on the listener; without it callers' keys are sent in clear text.
	TLS    *TLSFiles
	Bounds Limits
}

// PeerListener configures the listener for the system's other processes.
type PeerListener struct {
	Address netip.AddrPort `required:"true"`
	// Advertise is the address that other processes dial; the default is Address.
	Advertise netip.AddrPort
	// TLS enables mutual TLS for both accepted and dialed connections.
	TLS *MutualTLSFiles
}

// OperatorListener configures the listener for administration, metrics and profiles.
type OperatorListener struct {
	Address netip.AddrPort `required:"true"`
	TLS     *TLSFiles
	Keys    []OperatorKey
	Bounds  Limits
}

// OperatorKey is an API key of an operator.
type OperatorKey struct {
	// Name identifies the key's owner in the log.
	Name string `required:"true"`
	// SHA256 is the key's SHA-256 hash in hexadecimal digits.
	SHA256 string `required:"true"`
	// NotAfter is when the key expires; a key with a zero NotAfter does not expire.
	NotAfter time.Time
}

// Hash decodes the key's hash, or returns an error when it is not 64 hexadecimal digits.
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
	// PeerName is the DNS name in each process's certificate. Certificates don't
	// contain addresses, since the addresses of VMs change too often.
	PeerName string `default:"bilberrywick"`
}

// Limits keep one caller of a listener from exhausting its resources.
type Limits struct {
	// HeaderBytes limits the size of a request's header.
	HeaderBytes int `default:"32768" min:"1024" max:"1048576"`
	// BodyBytes limits the size of a request's body.
	BodyBytes int64 `default:"4194304" min:"1024" max:"67108864"`
	// BodyMemoryBytes limits the total size of the bodies of all requests in
	// progress on the listener.
	BodyMemoryBytes int64 `default:"268435456" min:"1048576"`
	// Streams limits the requests in progress on the listener; a router serves
	// about 300 at peak.
	Streams int `default:"4096" min:"1"`
	// Connections limits the open connections of the listener.
	Connections int `default:"8192" min:"1"`
	// HeaderTimeout limits the time to read a request's header.
	HeaderTimeout time.Duration `default:"5s" min:"10ms"`
	// BodyTimeout limits the time to read a request's header and body.
	BodyTimeout time.Duration `default:"30s" min:"10ms"`
	// IdleTimeout is how long a connection without a request stays open.
	IdleTimeout time.Duration `default:"2m" min:"10ms"`
	// WriteTimeout limits each write, for callers that don't read.
	WriteTimeout time.Duration `default:"10s" min:"10ms"`
}

// Platform configures access to the platform's stores and VM list.
type Platform struct {
	Table       Table
	Objects     ObjectStore
	VMList      VMList
	Credentials Credentials
	// Timeout limits each request to the platform.
	Timeout time.Duration `default:"2s" min:"10ms"`
}

// Table configures access to the platform's transactional table service.
type Table struct {
	Address netip.AddrPort `required:"true"`
	// Secure selects HTTPS.
	Secure bool
	Name   string `default:"bilberrywick"`
	// SigningRegion is the region name in request signatures.
	SigningRegion string `default:"local"`
}

// ObjectStore configures access to the platform's object store.
type ObjectStore struct {
	Address       netip.AddrPort `required:"true"`
	Secure        bool
	Bucket        string `default:"bilberrywick"`
	SigningRegion string `default:"local"`
}

// VMList configures access to the platform's list of VMs.
type VMList struct {
	Address netip.AddrPort `required:"true"`
	Secure  bool
	Path    string `default:"/v1/vms"`
	// Interval is the time between two reads of the list.
	Interval time.Duration `default:"2s" min:"100ms"`
}

// Credentials sign requests to the platform.
type Credentials struct {
	AccessKeyID string `required:"true"`
	// SecretKey is the key itself, and SecretKeyFile the file that contains it;
	// exactly one of them is set.
	SecretKey     string
	SecretKeyFile string
}

// Secret returns the secret key, or an error when SecretKeyFile can't be read.
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

// UpstreamSettings configure the engine or plain service to which an agent forwards requests.
type UpstreamSettings struct {
	Name    bwmodel.UpstreamID `required:"true"`
	Service bwmodel.ServiceID  `required:"true"`
	Kind    string             `required:"true" oneof:"Model,Plain"`
	Address netip.AddrPort     `required:"true"`
	// ChecksFence is set when the upstream itself rejects stale fencing tokens.
	ChecksFence bool
	// Slots is the number of requests that the upstream runs concurrently.
	Slots int `default:"16" min:"1"`
}

// ServiceKind returns the kind of the upstream's service. It is valid only for
// decoded settings, whose Kind was checked.
func (ups UpstreamSettings) ServiceKind() bwmodel.ServiceKind {
	kind, _ := bwmodel.ParseServiceKind(ups.Kind)
	return kind
}

// Log configures the log.
type Log struct {
	Level string `default:"Info" oneof:"Debug,Info,Warn,Error"`
}

// SlogLevel returns the level for log/slog. It is valid only for decoded
// settings, whose Level was checked.
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
