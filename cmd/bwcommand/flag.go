package bwcommand

import (
	"errors"
	"net/netip"
	"strings"
)

// AddressFlag is a flag that holds an IP address and port.
type AddressFlag struct{ Address *netip.AddrPort }

var errAddress = errors.New("want an address and port such as 192.0.2.1:7002")

// Set parses the flag.
func (afl AddressFlag) Set(txt string) error {
	addr, err := netip.ParseAddrPort(txt)
	if err != nil {
		return errAddress
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

// addressList is a flag that holds several addresses, separated by commas.
type addressList struct{ addresses *[]netip.AddrPort }

// Set parses the flag; it replaces what it held.
func (afl addressList) Set(txt string) error {
	var list []netip.AddrPort
	for part := range strings.SplitSeq(txt, ",") {
		addr, err := netip.ParseAddrPort(part)
		if err != nil {
			return errAddress
		}
		list = append(list, addr)
	}
	*afl.addresses = list
	return nil
}

// String returns the addresses.
func (afl addressList) String() string {
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
func (afl addressList) Type() string { return "addresses" }
