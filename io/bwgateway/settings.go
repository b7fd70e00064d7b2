package bwgateway

import (
	"net/netip"
	"os"
	"time"

	"bilberrywick/io/bwsettings"
)

// Settings configures a gateway process.
type Settings struct {
	// Member is the ID of the process, in its log and among the gateways.
	Member string `required:"true"`
	Zone   string `required:"true"`
	Region string `default:""`
	// Callers is the listen address for callers, Status that for readiness and
	// metrics.
	Callers netip.AddrPort `required:"true"`
	Status  netip.AddrPort `required:"true"`
	// Peers is the UDP listen address for datagrams of other gateways.
	Peers netip.AddrPort `required:"true"`
	// Store is the address of the platform's store.
	Store netip.AddrPort `required:"true"`
	// GraceTime is the time from the platform's request to stop until it kills the
	// process.
	GraceTime time.Duration `default:"8s" min:"1s"`
	// LeaveTime is the time after which a leaving upstream must receive no more
	// requests.
	LeaveTime time.Duration `default:"2s" min:"500ms"`
	// ChangeTime is the time after which new routes must be in effect.
	ChangeTime time.Duration `default:"2s" min:"500ms"`
	// ReuseTime is the time after the end of an upstream in which no upstream of another
	// service gets its address; without it an upstream that restarts while the list of
	// upstreams can't be read is not used until it can.
	ReuseTime time.Duration `default:"0s" min:"0s"`
	// RetryShare limits retries, as a share of all requests.
	RetryShare float64 `default:"0.1" min:"0"`
	// RetrySlack is the number of retries that all gateways together may send beyond
	// that share, in each RetryWindow. The platform divides it, so it may have a
	// fraction.
	RetrySlack float64 `default:"20" min:"0"`
	// RetryWindow is the time over which retries are limited.
	RetryWindow time.Duration `default:"10s" min:"1s"`
	// ExposureShare is the share of a service's requests, and ExposureSlack the number in
	// addition, that a bad version may get during a rollout from all gateways together.
	// RollbackTime is the time after its 50th bad response from which on it must get none.
	// Without ExposureShare or RollbackTime there are no rollouts, and versions of
	// upstreams are ignored.
	ExposureShare float64       `default:"0" min:"0"`
	ExposureSlack float64       `default:"0" min:"0"`
	RollbackTime  time.Duration `default:"0s" min:"0s"`
	// MemoryLimit is the memory limit of the process in MiB.
	MemoryLimit float64 `default:"128" min:"8"`
}

// LoadSettings reads settings from a file. Its errors are those of os.ReadFile
// and *bwsettings.Error.
func LoadSettings(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return bwsettings.Decode[Settings](data)
}
