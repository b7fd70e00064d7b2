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

// keyVariable is the environment variable that holds the operator's key. There is
// no flag for the key, since the process list shows flags.
const keyVariable = "BILBERRYWICK_OPERATOR_KEY"

// connectionFlags holds the flags for connecting to the administration API of a process.
type connectionFlags struct {
	cfg     *Config
	address netip.AddrPort
	// addresses is used instead of address by commands that query several processes.
	addresses     []netip.AddrPort
	keyFile       string
	authorityFile string
	serverName    string
	timeout       time.Duration
}

// defaultAddress is the operators' listener of the router in examples/loopback.
var defaultAddress = netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), 7002)

func (cn *connectionFlags) addFlags(cmd *cobra.Command) {
	cn.address = defaultAddress
	cmd.Flags().Var(AddressFlag{&cn.address}, "address", "address and port of a process's listener for operators")
	cn.addCommonFlags(cmd)
}

// addListFlags adds the flags with an --address that accepts several addresses.
func (cn *connectionFlags) addListFlags(cmd *cobra.Command) {
	const usage = "addresses and ports of processes' listeners for operators, separated by commas"
	cn.addresses = []netip.AddrPort{defaultAddress}
	cmd.Flags().Var(addressListFlag{&cn.addresses}, "address", usage)
	cn.addCommonFlags(cmd)
}

func (cn *connectionFlags) addCommonFlags(cmd *cobra.Command) {
	flags := cmd.Flags()
	flags.StringVar(&cn.keyFile, "key-file", "", "file with the operator's key; variable "+keyVariable+" when not set")
	flags.StringVar(&cn.authorityFile, "authority-file", "", "PEM file of the certificate authority that signed the server's certificate; enables TLS")
	flags.StringVar(&cn.serverName, "server-name", "bilberrywick", "name in the server's certificate")
	flags.DurationVar(&cn.timeout, "timeout", 10*time.Second, "maximum time to wait for a response")
	completeFlag(cmd, "key-file")
	completeFlag(cmd, "authority-file", "pem")
}

// client returns a client for address, or an error when the key or the authority can't be read.
func (cn *connectionFlags) client() (*bwadmin.Client, error) { return cn.newClient(cn.address) }

// clients returns a client for each of addresses.
func (cn *connectionFlags) clients() ([]*bwadmin.Client, error) {
	cls := make([]*bwadmin.Client, 0, len(cn.addresses))
	for _, addr := range cn.addresses {
		cl, err := cn.newClient(addr)
		if err != nil {
			return nil, err
		}
		cls = append(cls, cl)
	}
	return cls, nil
}

func (cn *connectionFlags) newClient(addr netip.AddrPort) (*bwadmin.Client, error) {
	key, err := cn.readKey()
	if err != nil {
		return nil, err
	}
	cfg := bwhttp.ClientConfig{Address: addr, Key: key, Timeout: cn.timeout}
	if cn.authorityFile != "" {
		if cfg.TLS, err = cn.tls(); err != nil {
			return nil, err
		}
	}
	return bwadmin.NewClient(cfg), nil
}

func (cn *connectionFlags) readKey() (string, error) {
	if cn.keyFile == "" {
		return cn.cfg.Getenv(keyVariable), nil
	}
	data, err := os.ReadFile(cn.keyFile)
	if err != nil {
		return "", fmt.Errorf("read operator's key: %w", err)
	}
	return string(bytes.TrimSpace(data)), nil
}

func (cn *connectionFlags) tls() (*tls.Config, error) {
	pem, err := os.ReadFile(cn.authorityFile)
	if err != nil {
		return nil, fmt.Errorf("read certificate authority: %w", err)
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(pem) {
		return nil, fmt.Errorf("read certificate authority: no certificate in %s", cn.authorityFile)
	}
	return &tls.Config{MinVersion: tls.VersionTLS13, RootCAs: roots, ServerName: cn.serverName}, nil
}

// markUnreachable wraps an error in unreachableError, unless it has one of the
// types that the client returns for a response from the process.
func markUnreachable(err error) error {
	if err == nil {
		return nil
	}
	var faults *bwsettings.Error
	var conflict *bwadmin.ConflictError
	var problem *bwadmin.ProblemError
	if errors.As(err, &faults) || errors.As(err, &conflict) || errors.As(err, &problem) {
		return err
	}
	return &unreachableError{err: err}
}
