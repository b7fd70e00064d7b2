package bwdev_test

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"errors"
	"fmt"
	"math/big"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"bilberrywick/core/bwmodel"
	"bilberrywick/io/bwadmin"
	"bilberrywick/io/bwagent"
	"bilberrywick/io/bwhttp"
	"bilberrywick/io/bwrouter"
	"bilberrywick/io/bwrpc"
	"bilberrywick/io/bwsettings"
	"bilberrywick/io/bwwire"
	"bilberrywick/standin/bwfakeapp"
	"bilberrywick/standin/bwfakestore"
)

// authority is a certificate authority for the certificates of processes.
type authority struct {
	t    *testing.T
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

const processName = "bilberrywick"

func newAuthority(t *testing.T, name string) *authority {
	t.Helper()
	aut := &authority{t: t}
	aut.cert, aut.key = issueCertificate(t, &x509.Certificate{
		Subject: pkix.Name{CommonName: name}, IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}, nil)
	return aut
}

// issueCertificate creates a certificate signed by issuer, or self-signed when issuer is nil.
func issueCertificate(t *testing.T, tmpl *x509.Certificate, issuer *authority) (*x509.Certificate, *ecdsa.PrivateKey) {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	serial, err := rand.Int(rand.Reader, big.NewInt(1<<62))
	if err != nil {
		t.Fatal(err)
	}
	tmpl.SerialNumber = serial
	tmpl.NotBefore, tmpl.NotAfter = time.Now().Add(-time.Hour), time.Now().Add(time.Hour)
	parent, signer := tmpl, key
	if issuer != nil {
		parent, signer = issuer.cert, issuer.key
	}
	der, err := x509.CreateCertificate(rand.Reader, tmpl, parent, &key.PublicKey, signer)
	if err != nil {
		t.Fatal(err)
	}
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		t.Fatal(err)
	}
	return cert, key
}

func (aut *authority) pem() []byte {
	return pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: aut.cert.Raw})
}

// processCertificate returns a new certificate for a DNS name and its key in PEM format.
func (aut *authority) processCertificate(name string) (certPEM, keyPEM []byte) {
	aut.t.Helper()
	cert, key := issueCertificate(aut.t, &x509.Certificate{
		Subject:     pkix.Name{CommonName: name},
		DNSNames:    []string{name},
		KeyUsage:    x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}, aut)
	der, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		aut.t.Fatal(err)
	}
	certPEM = pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: cert.Raw})
	return certPEM, pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: der})
}

// clientConfig returns a configuration that trusts the authority and, if
// clientAuthority is set, presents a certificate for name that it signed.
func (aut *authority) clientConfig(clientAuthority *authority, name string) *tls.Config {
	aut.t.Helper()
	cfg := &tls.Config{MinVersion: tls.VersionTLS13, RootCAs: x509.NewCertPool(), ServerName: processName}
	cfg.RootCAs.AddCert(aut.cert)
	if clientAuthority != nil {
		pair, err := tls.X509KeyPair(clientAuthority.processCertificate(name))
		if err != nil {
			aut.t.Fatal(err)
		}
		cfg.Certificates = []tls.Certificate{pair}
	}
	return cfg
}

// secureFleet is a router, an agent and its app, with TLS on all listeners of the
// router and the agent.
type secureFleet struct {
	t   *testing.T
	dir string
	rtr *bwrouter.Router
	agt *bwagent.Agent
}

// installCertificates replaces the files with the processes' certificate, signed by
// aut, its key and the trusted authorities.
func (sec *secureFleet) installCertificates(aut *authority, trusted ...*authority) {
	sec.t.Helper()
	var roots []byte
	for _, root := range trusted {
		roots = append(roots, root.pem()...)
	}
	cert, key := aut.processCertificate(processName)
	for name, data := range map[string][]byte{"authority.pem": roots, "key.pem": key, "cert.pem": cert} {
		path := filepath.Join(sec.dir, name)
		// Files are renamed into place, as the platform replaces certificates.
		if err := errors.Join(os.WriteFile(path+".new", data, 0o600), os.Rename(path+".new", path)); err != nil {
			sec.t.Fatal(err)
		}
	}
}

func (sec *secureFleet) serverFiles() *bwsettings.TLSFiles {
	return &bwsettings.TLSFiles{CertificateFile: filepath.Join(sec.dir, "cert.pem"), KeyFile: filepath.Join(sec.dir, "key.pem")}
}

func (sec *secureFleet) mutualFiles() *bwsettings.MutualTLSFiles {
	fls := sec.serverFiles().WithoutAuthority()
	fls.AuthorityFile, fls.PeerName = filepath.Join(sec.dir, "authority.pem"), processName
	return &fls
}

const reloadInterval = 20 * time.Millisecond

var anyPort = netip.MustParseAddrPort("127.0.0.1:0")

func startSecureFleet(t *testing.T, aut *authority) *secureFleet {
	t.Helper()
	sec := &secureFleet{t: t, dir: t.TempDir()}
	sec.installCertificates(aut, aut)
	platform := bwfakestore.New(bwfakestore.Config{})
	if err := platform.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(platform.Close)
	set := bwsettings.Platform{
		Table:       bwsettings.Table{Address: platform.TableAddress(), Name: "bilberrywick", SigningRegion: "local"},
		Objects:     bwsettings.ObjectStore{Address: platform.ObjectsAddress(), Bucket: "bilberrywick", SigningRegion: "local"},
		VMList:      bwsettings.VMList{Address: platform.ListAddress()},
		Credentials: bwsettings.Credentials{AccessKeyID: "test", SecretKey: "test"},
	}
	sec.startRouter(set)
	sec.startAgent(set)
	return sec
}

func (sec *secureFleet) startRouter(set bwsettings.Platform) {
	sec.t.Helper()
	rtr, err := bwrouter.New(bwrouter.Config{CertificateReloadInterval: reloadInterval, Settings: bwsettings.Router{
		Identity:  bwsettings.Identity{ID: "router", Region: "local", Zone: "one"},
		Callers:   bwsettings.CallerListener{Address: anyPort, TLS: sec.serverFiles()},
		Peers:     bwsettings.PeerListener{Address: anyPort, TLS: sec.mutualFiles()},
		Operators: bwsettings.OperatorListener{Address: anyPort, TLS: sec.serverFiles()},
		Platform:  set,
	}})
	if err != nil {
		sec.t.Fatal(err)
	}
	sec.rtr = rtr
	rtr.Start(sec.t.Context())
	sec.t.Cleanup(func() { _ = rtr.Kill() })
}

func (sec *secureFleet) startAgent(set bwsettings.Platform) {
	sec.t.Helper()
	app := bwfakeapp.New(bwfakeapp.Config{Name: "app"})
	app.Start(sec.t.Context())
	lis, err := net.Listen("tcp", anyPort.String())
	if err != nil {
		sec.t.Fatal(err)
	}
	srv := &appServer{app: app, lis: lis}
	go srv.run(sec.t.Context())
	agt, err := bwagent.New(bwagent.Config{CertificateReloadInterval: reloadInterval, Settings: bwsettings.Agent{
		Identity:  bwsettings.Identity{ID: "agent", Region: "local", Zone: "one"},
		Peers:     bwsettings.PeerListener{Address: anyPort, TLS: sec.mutualFiles()},
		Operators: bwsettings.OperatorListener{Address: anyPort, TLS: sec.serverFiles()},
		Upstream: bwsettings.UpstreamSettings{
			Name: "app-1", Service: "objednavky-pult", Kind: "Plain", Address: netip.MustParseAddrPort(lis.Addr().String()), Slots: 4,
		},
		SeedPeers: []netip.AddrPort{sec.rtr.Member().Address},
		Platform:  set,
	}})
	if err != nil {
		sec.t.Fatal(err)
	}
	sec.agt = agt
	agt.Start(sec.t.Context())
	sec.t.Cleanup(func() { _ = agt.Kill() })
}

type appServer struct {
	app *bwfakeapp.App
	lis net.Listener
}

func (srv *appServer) run(ctx context.Context) { _ = srv.app.Serve(ctx, srv.lis) }

// applyTicket submits the first ticket to the router's TLS listener for operators.
func (sec *secureFleet) applyTicket(conf *tls.Config) {
	sec.t.Helper()
	cl := bwadmin.NewClient(bwhttp.ClientConfig{Address: sec.rtr.OperatorAddress(), TLS: conf})
	defer cl.Close()
	doc := bwwire.TicketDocument{
		Number:   1,
		Services: []bwwire.ServiceDocument{{Name: "objednavky-pult", Kind: "Plain", Class: "Prompt", QueueLimit: 10, Deadline: bwwire.DurationText(time.Minute), Actions: []string{"/orders"}}},
		Teams:    []bwwire.TeamDocument{{Name: "rezbari", Keys: []bwwire.TeamKeyDocument{teamKeyDocument("key", time.Time{})}, Weight: 1}},
		Upstreams: []bwwire.UpstreamDocument{{
			Name: "app-1", Service: "objednavky-pult", Region: "local", Zone: "one", Agent: sec.agt.Address(), Slots: 4,
		}},
	}
	if _, err := cl.Apply(sec.t.Context(), &bwadmin.TicketRequest{Ticket: doc}); err != nil {
		sec.t.Fatal(err)
	}
}

// sendOrder sends an action through router and agent on a new connection, and
// returns the serial number of the router's certificate.
func (sec *secureFleet) sendOrder(conf *tls.Config, key string) (*big.Int, error) {
	trp := &http.Transport{TLSClientConfig: conf}
	defer trp.CloseIdleConnections()
	rq, err := http.NewRequestWithContext(sec.t.Context(), http.MethodPost, "https://"+sec.rtr.CallerAddress().String()+orderPath, strings.NewReader("{}"))
	if err != nil {
		return nil, err
	}
	bwhttp.SetBearer(rq, "key")
	rq.Header.Set("Idempotency-Key", key)
	rsp, err := (&http.Client{Transport: trp}).Do(rq)
	if err != nil {
		return nil, err
	}
	defer func() { _ = rsp.Body.Close() }()
	if rsp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("status %d", rsp.StatusCode)
	}
	return rsp.TLS.PeerCertificates[0].SerialNumber, nil
}

// callExchange calls the method Peer.Exchange of a process.
func callExchange(t *testing.T, addr netip.AddrPort, conf *tls.Config) error {
	t.Helper()
	cl, err := bwrpc.NewClient(bwrpc.ClientConfig{TLS: conf})
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = cl.Close() }()
	msg := &bwwire.ExchangeMessage{From: bwwire.MemberRecord{Member: bwwire.NewMemberDocument(bwmodel.Member{ID: "peer", Role: bwmodel.RouterRole, Incarnation: 1, Address: anyPort})}}
	_, err = bwrpc.Call[bwwire.ExchangeMessage, bwwire.ExchangeMessage](t.Context(), cl, addr, bwwire.PeerExchange, msg)
	return err
}

// Guards against a process that serves peers without a certificate from the trusted
// authority, and against plain HTTP for callers or operators on a TLS listener.
func TestConnectionsWithoutCertificateAreRejected(t *testing.T) {
	trusted, untrusted := newAuthority(t, "ours"), newAuthority(t, "theirs")
	sec := startSecureFleet(t, trusted)
	sec.applyTicket(trusted.clientConfig(nil, ""))
	eventually(t, func() error { _, err := sec.sendOrder(trusted.clientConfig(nil, ""), "order-1"); return err })
	tests := []struct {
		name string
		conf *tls.Config
		ok   bool
	}{
		{"own certificate", trusted.clientConfig(trusted, processName), true},
		{"no certificate", trusted.clientConfig(nil, ""), false},
		{"certificate of another authority", trusted.clientConfig(untrusted, processName), false},
		{"certificate for another name", trusted.clientConfig(trusted, "someone"), false},
		{"no TLS", nil, false},
	}
	for _, tt := range tests {
		for _, addr := range []netip.AddrPort{sec.rtr.Member().Address, sec.agt.Address()} {
			if err := callExchange(t, addr, tt.conf); (err == nil) != tt.ok {
				t.Errorf("%s at %v: %v", tt.name, addr, err)
			}
		}
	}
	if _, err := sec.sendOrder(untrusted.clientConfig(nil, ""), "order-2"); err == nil {
		t.Error("a caller that trusts another authority accepts the router")
	}
	for _, addr := range []netip.AddrPort{sec.rtr.CallerAddress(), sec.rtr.OperatorAddress(), sec.agt.OperatorAddress()} {
		rsp, err := http.Get("http://" + addr.String() + "/ready")
		if err == nil {
			_ = rsp.Body.Close()
			if rsp.StatusCode == http.StatusOK {
				t.Errorf("%v serves plain HTTP", addr)
			}
		}
	}
}

// Guards against a certificate rotation that takes effect only after a restart, also
// when the authority changes.
func TestCertificateRotation(t *testing.T) {
	old, next := newAuthority(t, "old"), newAuthority(t, "next")
	sec := startSecureFleet(t, old)
	sec.applyTicket(old.clientConfig(nil, ""))
	var before *big.Int
	eventually(t, func() (err error) { before, err = sec.sendOrder(old.clientConfig(nil, ""), "order-1"); return err })
	incarnation := sec.rtr.Member().Incarnation
	// First all processes trust both authorities, then their certificates are replaced.
	sec.installCertificates(old, old, next)
	for _, addr := range []netip.AddrPort{sec.rtr.Member().Address, sec.agt.Address()} {
		eventually(t, func() error { return callExchange(t, addr, old.clientConfig(next, processName)) })
	}
	sec.installCertificates(next, next)
	var after *big.Int
	eventually(t, func() (err error) { after, err = sec.sendOrder(next.clientConfig(nil, ""), "order-2"); return err })
	if before.Cmp(after) == 0 {
		t.Error("the router still presents the old certificate")
	}
	for _, addr := range []netip.AddrPort{sec.rtr.Member().Address, sec.agt.Address()} {
		eventually(t, func() error {
			if callExchange(t, addr, next.clientConfig(old, processName)) == nil {
				return fmt.Errorf("%v accepts a certificate of the old authority", addr)
			}
			return nil
		})
		eventually(t, func() error { return callExchange(t, addr, next.clientConfig(next, processName)) })
	}
	if sec.rtr.Member().Incarnation != incarnation {
		t.Error("the router has restarted")
	}
}
