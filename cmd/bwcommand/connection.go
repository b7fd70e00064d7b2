package bwcommand

import (
	"bytes"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"time"

	"github.com/spf13/cobra"

	"bilberrywick/io/bwadmin"
	"bilberrywick/io/bwhttp"
	"bilberrywick/io/bwsettings"
)

// keyVariable is the environment variable that holds the operator's key; a key
// in a flag would show in the list of processes.
const keyVariable = "BILBERRYWICK_OPERATOR_KEY"

// connection says how to reach the administration API of a process.
type connection struct {
	cfg     *Config
	address netip.AddrPort
	// addresses replaces address for a command that asks several processes.
	addresses []netip.AddrPort
	keyFile   string
	authority string
	name      string
	timeout   time.Duration
}

// defaultAddress is where a router of examples/loopback serves operators.
var defaultAddress = netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), 7002)

func (cn *connection) addFlags(cmd *cobra.Command) {
	cn.address = defaultAddress
	cmd.Flags().Var(AddressFlag{&cn.address}, "address", "address and port of a process's operators' listener")
	cn.addCommonFlags(cmd)
}

// addListFlags takes several addresses.
func (cn *connection) addListFlags(cmd *cobra.Command) {
	const usage = "addresses and ports of processes' operators' listeners, separated by commas"
	cn.addresses = []netip.AddrPort{defaultAddress}
	cmd.Flags().Var(addressList{&cn.addresses}, "address", usage)
	cn.addCommonFlags(cmd)
}

func (cn *connection) addCommonFlags(cmd *cobra.Command) {
	flags := cmd.Flags()
	flags.StringVar(&cn.keyFile, "key-file", "", "file with the operator's key; "+keyVariable+" when not set")
	flags.StringVar(&cn.authority, "authority-file", "", "PEM file of the authority that signed the server's certificate; turns TLS on")
	flags.StringVar(&cn.name, "server-name", "bilberrywick", "name in the server's certificate")
	flags.DurationVar(&cn.timeout, "timeout", 10*time.Second, "longest wait for the answer")
	completeFlag(cmd, "key-file")
	completeFlag(cmd, "authority-file", "pem")
}

// client returns a client, or a *UsageError, or the error of reading a file.
func (cn *connection) client() (*bwadmin.Client, error) { return cn.clientOf(cn.address) }

// clients returns a client for each address.
func (cn *connection) clients() ([]*bwadmin.Client, error) {
	cls := make([]*bwadmin.Client, 0, len(cn.addresses))
	for _, addr := range cn.addresses {
		cl, err := cn.clientOf(addr)
		if err != nil {
			return nil, err
		}
		cls = append(cls, cl)
	}
	return cls, nil
}

func (cn *connection) clientOf(addr netip.AddrPort) (*bwadmin.Client, error) {
	key, err := cn.key()
	if err != nil {
		return nil, err
	}
	cfg := bwhttp.ClientConfig{Address: addr, Key: key, Timeout: cn.timeout}
	if cn.authority != "" {
		if cfg.TLS, err = cn.tls(); err != nil {
			return nil, err
		}
	}
	return bwadmin.NewClient(cfg), nil
}

func (cn *connection) key() (string, error) {
	if cn.keyFile == "" {
		return cn.cfg.Getenv(keyVariable), nil
	}
	data, err := os.ReadFile(cn.keyFile)
	if err != nil {
		return "", fmt.Errorf("operator's key: %w", err)
	}
	return string(bytes.TrimSpace(data)), nil
}

func (cn *connection) tls() (*tls.Config, error) {
	pem, err := os.ReadFile(cn.authority)
	if err != nil {
		return nil, fmt.Errorf("authority: %w", err)
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(pem) {
		return nil, fmt.Errorf("authority %s: no certificate in the file", cn.authority)
	}
	return &tls.Config{MinVersion: tls.VersionTLS13, RootCAs: roots, ServerName: cn.name}, nil
}

// classify marks errors of the connection itself, which have none of the types
// that an answer is translated to.
func classify(err error) error {
	if err == nil {
		return nil
	}
	var faults *bwsettings.Error
	var conflict *bwadmin.ConflictError
	var prob *bwadmin.ProblemError
	if errors.As(err, &faults) || errors.As(err, &conflict) || errors.As(err, &prob) {
		return err
	}
	return &unreachableError{err: err}
}
