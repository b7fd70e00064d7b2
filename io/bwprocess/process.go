package bwprocess

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"time"

	"bilberrywick/core/bwmodel"
	"bilberrywick/io/bwfleet"
	"bilberrywick/io/bwhttp"
	"bilberrywick/io/bwlisten"
	"bilberrywick/io/bwobserve"
	"bilberrywick/io/bwrpc"
	"bilberrywick/io/bwsettings"
	"bilberrywick/io/bwstore"
)

// peerDescriptorShare is the part of the process's free descriptors for connections of
// other processes.
const peerDescriptorShare = 0.25

// Process is the part that a router and an agent share.
type Process struct {
	Self bwmodel.Member
	// StartTime is when the process was created. The incarnation derives from it,
	// and the monotonic clock of the process counts from it.
	StartTime time.Time
	Log       *slog.Logger
	Metrics   *bwobserve.Metrics
	// Server serves the system's other processes; register methods before Start.
	Server *bwrpc.Server
	Client *bwrpc.Client
	Store  *bwstore.Client
	Fleet  *bwfleet.Fleet

	cfg      Config
	stop     *stopState
	closures *bwlisten.ClosureLog
	// certificates are reloaded while the process runs.
	certificates []*bwsettings.Certificates
	listener     net.Listener
	cancel       context.CancelFunc
	serveDone    chan struct{}
}

// Config configures a Process.
type Config struct {
	Role     bwmodel.Role
	Settings bwsettings.Common
	Version  string
	// LogOutput receives the log, one JSON object per line; nil discards it.
	LogOutput io.Writer
	// Dial and Listen replace TCP, for tests that inject connection failures; nil
	// means TCP.
	Dial   func(ctx context.Context, addr netip.AddrPort) (net.Conn, error)
	Listen func(ctx context.Context, addr netip.AddrPort) (net.Listener, error)
	// CertificateReloadInterval is the time between two reads of the certificate
	// files; 0 means 30 s.
	CertificateReloadInterval time.Duration
	// CheckReady, if set, returns an error while the router or agent itself can't
	// accept new work.
	CheckReady func() error
	// UpdateGauges, if set, updates the gauges of the router or agent; it is
	// called once a second.
	UpdateGauges func()
	// Now returns the current time; nil means time.Now.
	Now func() time.Time
}

// New opens the listener for other processes and returns a process to be started
// with Start, or an error that names the part that failed.
func New(cfg Config) (*Process, error) {
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	if cfg.Listen == nil {
		cfg.Listen = bwhttp.ListenTCP
	}
	prc := &Process{
		cfg:       cfg,
		StartTime: cfg.Now(),
		Metrics:   bwobserve.NewMetrics(),
		stop:      newStopState(),
		serveDone: make(chan struct{}),
	}
	lis, err := cfg.Listen(context.Background(), cfg.Settings.Peers.Address)
	if err != nil {
		return nil, fmt.Errorf("listen for other processes: %w", err)
	}
	// Silent connections are closed first, then those that have been silent for longest;
	// other processes send something every second and connect again.
	prc.listener = bwlisten.New(lis, bwlisten.Config{
		Protocol:    bwlisten.OtherProtocol,
		Connections: bwlisten.ConnectionsOf(peerDescriptorShare),
		OnClose:     prc.onClose(cfg.Settings.Peers.Address),
	})
	prc.setIdentity()
	if err := prc.build(); err != nil {
		return nil, errors.Join(err, lis.Close())
	}
	return prc, nil
}

// Start starts the fleet, the periodic updates and the RPC server, which run
// until the context ends or Stop is called. It returns the context for the
// process's other parts and a channel that receives the fleet's changes.
func (prc *Process) Start(ctx context.Context) (context.Context, <-chan struct{}) {
	ctx, prc.cancel = context.WithCancel(ctx)
	changes := prc.Fleet.Subscribe()
	for _, certs := range prc.certificates {
		certs.Start(ctx)
	}
	prc.Fleet.Start(ctx)
	go prc.run(ctx)
	go prc.loop(ctx)
	return ctx, changes
}

// Stop cancels the context that Start returned, closes the listener, waits until
// the RPC server has ended, and closes the clients' idle connections.
func (prc *Process) Stop() error {
	prc.cancel()
	err := prc.listener.Close()
	if errors.Is(err, net.ErrClosed) {
		err = nil
	}
	<-prc.serveDone
	prc.Store.Close()
	return errors.Join(err, prc.Client.Close())
}

// Close closes the listener of a process that was never started.
func (prc *Process) Close() error { return prc.listener.Close() }

// StateNumber returns the number of the ticket in effect in this process.
func (prc *Process) StateNumber() bwmodel.TicketNumber { return prc.Fleet.Snapshot().State.Number() }

// Listen opens an HTTP listener with limits, and with TLS when lst.TLS is set.
func (prc *Process) Listen(lst ListenerConfig) (*bwhttp.Server, error) {
	var tlsConfig *tls.Config
	if lst.TLS != nil {
		certs, err := prc.openCertificates(lst.TLS.WithoutAuthority())
		if err != nil {
			return nil, err
		}
		tlsConfig = certs.ServerTLS()
	}
	return bwhttp.Listen(bwhttp.ServerConfig{
		Address:      lst.Address,
		Handler:      lst.Handler,
		TLS:          tlsConfig,
		Limits:       bwhttp.Limits(lst.Limits),
		Listen:       prc.cfg.Listen,
		OnClose:      prc.onClose(lst.Address),
		ErrorHandler: lst.ErrorHandler,
		Log:          prc.Log,
	})
}

// onClose returns the function that counts and logs the connections of a listener that
// are closed to stay within its limits.
func (prc *Process) onClose(addr netip.AddrPort) func(bwlisten.Reason, netip.AddrPort) {
	return func(reason bwlisten.Reason, remote netip.AddrPort) {
		prc.closures.OnClose(addr.String())(reason, remote)
	}
}

// openCertificates loads certificate files, which Start then reloads periodically.
func (prc *Process) openCertificates(files bwsettings.MutualTLSFiles) (*bwsettings.Certificates, error) {
	certs, err := bwsettings.NewCertificates(bwsettings.CertificatesConfig{
		Files:    files,
		Interval: prc.cfg.CertificateReloadInterval,
		Log:      prc.Log,
	})
	if err != nil {
		return nil, err
	}
	prc.certificates = append(prc.certificates, certs)
	return certs, nil
}

// ListenerConfig configures an HTTP listener.
type ListenerConfig struct {
	Address netip.AddrPort
	TLS     *bwsettings.TLSFiles
	Limits  bwsettings.Limits
	Handler http.Handler
	// ErrorHandler responds to requests that exceed a limit; nil responds in plain text.
	ErrorHandler func(http.ResponseWriter, *http.Request, error)
}

// run serves other processes until the context ends.
func (prc *Process) run(ctx context.Context) {
	defer close(prc.serveDone)
	if err := prc.Server.Serve(ctx, prc.listener); err != nil && ctx.Err() == nil {
		prc.Log.Error("RPC server failed", "Error", err)
	}
}

// setIdentity sets Self and the log. It uses the listener's address when the
// settings advertise none.
func (prc *Process) setIdentity() {
	address := prc.cfg.Settings.Peers.Advertise
	if !address.IsValid() {
		address = prc.listener.Addr().(*net.TCPAddr).AddrPort()
	}
	prc.Self = bwmodel.Member{
		ID:          prc.cfg.Settings.Identity.ID,
		Incarnation: bwmodel.NewIncarnation(prc.StartTime),
		Role:        prc.cfg.Role,
		Region:      prc.cfg.Settings.Identity.Region,
		Zone:        prc.cfg.Settings.Identity.Zone,
		Address:     address,
	}
	prc.Log = bwobserve.NewLog(bwobserve.LogConfig{
		Output:  prc.cfg.LogOutput,
		Level:   prc.cfg.Settings.Log.SlogLevel(),
		Member:  prc.Self,
		Version: prc.cfg.Version,
	})
	prc.closures = bwlisten.NewClosureLog(bwlisten.ClosureLogConfig{Count: prc.countClosed, Log: prc.Log})
}

func (prc *Process) countClosed(listener string, reason bwlisten.Reason) {
	prc.Metrics.ConnectionsClosed.With(listener, string(reason)).Inc()
}

func (prc *Process) build() error {
	if err := prc.openTransport(); err != nil {
		return err
	}
	if err := prc.openStore(); err != nil {
		return err
	}
	var err error
	prc.Fleet, err = bwfleet.New(bwfleet.Config{
		Self:            prc.Self,
		Seeds:           prc.cfg.Settings.SeedPeers,
		Store:           bwfleet.NewStore(prc.Store),
		Peers:           bwfleet.NewPeers(prc.Client),
		Now:             prc.cfg.Now,
		Log:             prc.Log,
		ListInterval:    prc.cfg.Settings.Platform.VMList.Interval,
		OnTicketApplied: prc.recordTicketApplied,
	})
	if err != nil {
		return fmt.Errorf("fleet: %w", err)
	}
	prc.Fleet.Register(prc.Server)
	return nil
}

func (prc *Process) openTransport() error {
	var serverTLS, clientTLS *tls.Config
	if files := prc.cfg.Settings.Peers.TLS; files != nil {
		certs, err := prc.openCertificates(*files)
		if err != nil {
			return fmt.Errorf("certificates for other processes: %w", err)
		}
		serverTLS, clientTLS = certs.ServerTLS(), certs.ClientTLS()
	}
	var err error
	prc.Server, err = bwrpc.NewServer(bwrpc.ServerConfig{TLS: serverTLS, Log: prc.Log, OnSend: prc.recordSent})
	if err != nil {
		return err
	}
	prc.Client, err = bwrpc.NewClient(bwrpc.ClientConfig{
		TLS:     clientTLS,
		Dial:    prc.cfg.Dial,
		Observe: prc.recordCall,
		OnSend:  prc.recordSent,
	})
	return err
}

func (prc *Process) openStore() error {
	platform := prc.cfg.Settings.Platform
	secret, err := platform.Credentials.Secret()
	if err != nil {
		return err
	}
	prc.Store, err = bwstore.New(bwstore.Config{
		Dial:          prc.cfg.Dial,
		Table:         platform.Table.Address,
		Objects:       platform.Objects.Address,
		List:          platform.VMList.Address,
		SecureTable:   platform.Table.Secure,
		SecureObjects: platform.Objects.Secure,
		SecureList:    platform.VMList.Secure,
		ListPath:      platform.VMList.Path,
		Region:        platform.Table.SigningRegion,
		ObjectsRegion: platform.Objects.SigningRegion,
		AccessKey:     platform.Credentials.AccessKeyID,
		SecretKey:     secret,
		TableName:     platform.Table.Name,
		Bucket:        platform.Objects.Bucket,
		Timeout:       platform.Timeout,
		Observe:       prc.recordStoreRequest,
	})
	return err
}
