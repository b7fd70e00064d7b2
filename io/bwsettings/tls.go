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

// defaultReloadInterval is the time between two reads of the certificate files;
// platforms replace certificates hours before they expire.
const defaultReloadInterval = 30 * time.Second

// Certificates holds a process's certificate and, for mutual TLS, the
// certificate authority of its peers. Start reloads the files periodically.
type Certificates struct {
	cfg     CertificatesConfig
	current atomic.Pointer[certificateSet]
}

// CertificatesConfig configures Certificates.
type CertificatesConfig struct {
	// Files names the PEM files; AuthorityFile is empty for listeners that don't
	// verify client certificates.
	Files MutualTLSFiles
	// Interval is the time between two reads of the files; 0 means 30 s.
	Interval time.Duration
	// Log receives errors of reloads; nil discards them.
	Log *slog.Logger
}

type certificateSet struct {
	cert      tls.Certificate
	authority *x509.CertPool
}

// NewCertificates loads the certificates, or returns an error with the file's name.
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

// WithoutAuthority returns the files without an authority, for listeners that
// don't verify client certificates.
func (fls TLSFiles) WithoutAuthority() MutualTLSFiles {
	return MutualTLSFiles{CertificateFile: fls.CertificateFile, KeyFile: fls.KeyFile}
}

// Start reloads the files at each interval until the context ends.
func (cts *Certificates) Start(ctx context.Context) { go cts.run(ctx) }

// Reload reads the files immediately. On an error, the current certificates
// stay in use.
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

// ServerTLS returns the configuration of a listener. With an authority, clients
// must present a certificate for PeerName that is signed by the authority.
func (cts *Certificates) ServerTLS() *tls.Config {
	cfg := &tls.Config{MinVersion: tls.VersionTLS13, GetCertificate: cts.serverCertificate}
	if cts.cfg.Files.AuthorityFile != "" {
		cfg.ClientAuth = tls.RequireAnyClientCert
		cfg.VerifyConnection = cts.verifyClient
		// A resumed session would still accept a client whose authority was replaced.
		cfg.SessionTicketsDisabled = true
	}
	return cfg
}

// ClientTLS returns the configuration for calls to peers; handshakes fail
// without an authority.
func (cts *Certificates) ClientTLS() *tls.Config {
	return &tls.Config{
		MinVersion:           tls.VersionTLS13,
		ServerName:           cts.cfg.Files.PeerName,
		GetClientCertificate: cts.clientCertificate,
		// verifyServer verifies the certificate, since RootCAs can't be replaced
		// after a reload.
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
	return cts.verifyPeer(state, x509.ExtKeyUsageClientAuth)
}

func (cts *Certificates) verifyServer(state tls.ConnectionState) error {
	return cts.verifyPeer(state, x509.ExtKeyUsageServerAuth)
}

func (cts *Certificates) verifyPeer(state tls.ConnectionState, usage x509.ExtKeyUsage) error {
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
