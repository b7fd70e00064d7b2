package bwcommand

import (
	"errors"
	"net/netip"
	"strings"
)

// AddressFlag is a pflag.Value for an IP address and port.
type AddressFlag struct{ Address *netip.AddrPort }

var errInvalidAddress = errors.New("want an address and port such as 192.0.2.1:7002")

// Set parses an address and port.
func (afl AddressFlag) Set(txt string) error {
	addr, err := netip.ParseAddrPort(txt)
	if err != nil {
		return errInvalidAddress
	}
	*afl.Address = addr
	return nil
}

// String returns the address.
func (afl AddressFlag) String() string {
	if afl.Address == nil {
		return ""
	}
	return afl.Address.String()
}

// Type names the flag's type in help texts.
func (afl AddressFlag) Type() string { return "address" }

// addressListFlag is a pflag.Value for addresses separated by commas.
type addressListFlag struct{ addresses *[]netip.AddrPort }

// Set parses addresses, which replace the current ones.
func (afl addressListFlag) Set(txt string) error {
	var list []netip.AddrPort
	for part := range strings.SplitSeq(txt, ",") {
		addr, err := netip.ParseAddrPort(part)
		if err != nil {
			return errInvalidAddress
		}
		list = append(list, addr)
	}
	*afl.addresses = list
	return nil
}

// String returns the addresses, separated by commas.
func (afl addressListFlag) String() string {
	if afl.addresses == nil {
		return ""
	}
	parts := make([]string, 0, len(*afl.addresses))
	for _, addr := range *afl.addresses {
		parts = append(parts, addr.String())
	}
	return strings.Join(parts, ",")
}

// Type names the flag's type in help texts.
func (afl addressListFlag) Type() string { return "addresses" }
