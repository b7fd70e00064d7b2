package bwsettings

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"sync/atomic"
	"time"
)

// defaultReloadInterval is the time between two readings of certificate files;
// platforms replace certificates hours before the old ones end.
const defaultReloadInterval = 30 * time.Second

// Certificates holds a process's certificate and, for mutual TLS, the
// authority of its peers, and reads the files again while the process runs.
type Certificates struct {
	cfg     CertificatesConfig
	current atomic.Pointer[certificateSet]
}

// CertificatesConfig configures Certificates.
type CertificatesConfig struct {
	// Files names the PEM files; AuthorityFile is empty for listeners that don't
	// verify their clients.
	Files MutualTLSFiles
	// Interval is the time between two readings; 0 means 30 s.
	Interval time.Duration
	// Log receives the failed readings; nil discards them.
	Log *slog.Logger
}

type certificateSet struct {
	cert      tls.Certificate
	authority *x509.CertPool
}

// NewCertificates reads the files, or returns an error that names the file.
func NewCertificates(cfg CertificatesConfig) (*Certificates, error) {
	if cfg.Interval == 0 {
		cfg.Interval = defaultReloadInterval
	}
	if cfg.Log == nil {
		cfg.Log = slog.New(slog.DiscardHandler)
	}
	cts := &Certificates{cfg: cfg}
	if err := cts.Reload(); err != nil {
		return nil, err
	}
	return cts, nil
}

// WithoutAuthority returns the files with no authority, for listeners that don't verify
// their clients.
func (fls TLSFiles) WithoutAuthority() MutualTLSFiles {
	return MutualTLSFiles{CertificateFile: fls.CertificateFile, KeyFile: fls.KeyFile}
}

// Start reads the files again at each interval until the context ends.
func (cts *Certificates) Start(ctx context.Context) { go cts.run(ctx) }

// Reload reads the files now; on an error the certificates in use stay.
func (cts *Certificates) Reload() error {
	set := &certificateSet{}
	var err error
	set.cert, err = tls.LoadX509KeyPair(cts.cfg.Files.CertificateFile, cts.cfg.Files.KeyFile)
	if err != nil {
		return fmt.Errorf("certificate %s: %w", cts.cfg.Files.CertificateFile, err)
	}
	if name := cts.cfg.Files.AuthorityFile; name != "" {
		pem, err := os.ReadFile(name)
		if err != nil {
			return fmt.Errorf("authority: %w", err)
		}
		set.authority = x509.NewCertPool()
		if !set.authority.AppendCertsFromPEM(pem) {
			return fmt.Errorf("authority %s: no certificate in the file", name)
		}
	}
	cts.current.Store(set)
	return nil
}

// ServerTLS returns the configuration of a listener; with an authority it
// requires clients to present a certificate of it that carries PeerName.
func (cts *Certificates) ServerTLS() *tls.Config {
	cfg := &tls.Config{MinVersion: tls.VersionTLS13, GetCertificate: cts.serverCertificate}
	if cts.cfg.Files.AuthorityFile != "" {
		cfg.ClientAuth = tls.RequireAnyClientCert
		cfg.VerifyConnection = cts.verifyClient
		// A resumed session would keep a client whose authority was replaced.
		cfg.SessionTicketsDisabled = true
	}
	return cfg
}

// ClientTLS returns the configuration for calls to peers; it needs an authority.
func (cts *Certificates) ClientTLS() *tls.Config {
	return &tls.Config{
		MinVersion:           tls.VersionTLS13,
		ServerName:           cts.cfg.Files.PeerName,
		GetClientCertificate: cts.clientCertificate,
		// verifyServer does the verification, since RootCAs can't change later.
		InsecureSkipVerify: true,
		VerifyConnection:   cts.verifyServer,
	}
}

func (cts *Certificates) run(ctx context.Context) {
	tick := time.NewTicker(cts.cfg.Interval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			if err := cts.Reload(); err != nil {
				cts.cfg.Log.Error("certificates not reloaded", "Error", err)
			}
		case <-ctx.Done():
			return
		}
	}
}

func (cts *Certificates) serverCertificate(*tls.ClientHelloInfo) (*tls.Certificate, error) {
	return &cts.current.Load().cert, nil
}

func (cts *Certificates) clientCertificate(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
	return &cts.current.Load().cert, nil
}

func (cts *Certificates) verifyClient(state tls.ConnectionState) error {
	return cts.verify(state, x509.ExtKeyUsageClientAuth)
}

func (cts *Certificates) verifyServer(state tls.ConnectionState) error {
	return cts.verify(state, x509.ExtKeyUsageServerAuth)
}

func (cts *Certificates) verify(state tls.ConnectionState, usage x509.ExtKeyUsage) error {
	if len(state.PeerCertificates) == 0 {
		return errors.New("the peer presented no certificate")
	}
	opts := x509.VerifyOptions{
		Roots:         cts.current.Load().authority,
		Intermediates: x509.NewCertPool(),
		DNSName:       cts.cfg.Files.PeerName,
		KeyUsages:     []x509.ExtKeyUsage{usage},
	}
	if opts.Roots == nil {
		return errors.New("no authority is configured to verify peers")
	}
	for _, cert := range state.PeerCertificates[1:] {
		opts.Intermediates.AddCert(cert)
	}
	if _, err := state.PeerCertificates[0].Verify(opts); err != nil {
		return fmt.Errorf("peer certificate: %w", err)
	}
	return nil
}
