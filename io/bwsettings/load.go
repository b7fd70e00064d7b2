package bwsettings

import (
	"fmt"
	"net/netip"
	"os"
	"strconv"

	"bilberrywick/io/bwwire"
)

// LoadRouter reads a router's settings from a file. It returns the error of
// reading the file, or an *Error with every fault.
func LoadRouter(path string) (*Router, error) { return load(path, DecodeRouter) }

// LoadAgent reads an agent's settings from a file. It returns the error of
// reading the file, or an *Error with every fault.
func LoadAgent(path string) (*Agent, error) { return load(path, DecodeAgent) }

// LoadTicket reads a change ticket from a file. It returns the error of
// reading the file, or an *Error with every fault.
func LoadTicket(path string) (*bwwire.TicketDocument, error) { return load(path, DecodeTicket) }

// DecodeRouter decodes a router's settings, or returns an *Error with every fault.
func DecodeRouter(data []byte) (*Router, error) {
	return decodeChecked(data, (*Router).check)
}

// DecodeAgent decodes an agent's settings, or returns an *Error with every fault.
func DecodeAgent(data []byte) (*Agent, error) {
	return decodeChecked(data, (*Agent).check)
}

// DecodeTicket decodes a change ticket, or returns an *Error with every fault
// of its fields. It does not check references between the ticket's objects.
func DecodeTicket(data []byte) (*bwwire.TicketDocument, error) {
	return Decode[bwwire.TicketDocument](data)
}

// decodeChecked decodes a document and also runs the checks across fields.
func decodeChecked[T any](data []byte, check func(*T, *FaultList)) (*T, error) {
	val, faults, ok := decodeAll[T](data)
	if ok {
		check(val, faults)
	}
	if err := faults.Err(); err != nil {
		return nil, err
	}
	return val, nil
}

func load[T any](path string, decode func([]byte) (*T, error)) (*T, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read settings: %w", err)
	}
	return decode(data)
}

func (rt *Router) check(faults *FaultList) {
	rt.Peers.check(faults)
	rt.Operators.check(faults)
	rt.Platform.Credentials.check(faults)
	checkDistinct(faults, map[string]netip.AddrPort{
		"Peers.Address":     rt.Peers.Address,
		"Operators.Address": rt.Operators.Address,
	}, "Callers.Address", rt.Callers.Address)
	checkDistinct(faults, map[string]netip.AddrPort{
		"Operators.Address": rt.Operators.Address,
	}, "Peers.Address", rt.Peers.Address)
}

func (ag *Agent) check(faults *FaultList) {
	ag.Peers.check(faults)
	ag.Operators.check(faults)
	ag.Platform.Credentials.check(faults)
	checkDistinct(faults, map[string]netip.AddrPort{
		"Operators.Address": ag.Operators.Address,
	}, "Peers.Address", ag.Peers.Address)
}

// check fills in the advertised address and rejects an unspecified one, which
// peers can't dial.
func (pl *PeerListener) check(faults *FaultList) {
	if !pl.Advertise.IsValid() {
		pl.Advertise = pl.Address
	}
	if pl.Advertise.IsValid() && pl.Advertise.Addr().IsUnspecified() {
		faults.Add("Peers.Advertise", "is required when Peers.Address names no single address")
	}
}

func (ol *OperatorListener) check(faults *FaultList) {
	if len(ol.Keys) == 0 && ol.Address.IsValid() && !ol.Address.Addr().IsLoopback() {
		faults.Add("Operators.Keys", "is required when Operators.Address is not a loopback address")
	}
	for ix, key := range ol.Keys {
		if _, err := key.Hash(); err != nil && key.SHA256 != "" {
			faults.Add("Operators.Keys["+strconv.Itoa(ix)+"].SHA256", err.Error())
		}
	}
}

func (crd *Credentials) check(faults *FaultList) {
	if (crd.SecretKey == "") == (crd.SecretKeyFile == "") {
		faults.Add("Platform.Credentials", "exactly one of SecretKey and SecretKeyFile must be set")
	}
}

func checkDistinct(faults *FaultList, others map[string]netip.AddrPort, path string, addr netip.AddrPort) {
	for name, other := range others {
		if addr.IsValid() && addr.Port() != 0 && addr == other {
			faults.Add(path, "is the same address as "+name)
		}
	}
}
