package bwsettings

import (
	"fmt"
	"net/netip"
	"os"
	"strconv"

	"bilberrywick/io/bwwire"
)

// LoadRouter reads a router's settings from a file; its errors are those of
// reading the file and *Error.
func LoadRouter(path string) (*Router, error) { return load(path, DecodeRouter) }

// LoadAgent reads an agent's settings from a file; its errors are those of
// reading the file and *Error.
func LoadAgent(path string) (*Agent, error) { return load(path, DecodeAgent) }

// LoadTicket reads a change ticket from a file; its errors are those of
// reading the file and *Error.
func LoadTicket(path string) (*bwwire.TicketDocument, error) { return load(path, DecodeTicket) }

// DecodeRouter reads a router's settings, or returns an *Error with every fault.
func DecodeRouter(data []byte) (*Router, error) {
	return decodeChecked(data, (*Router).check)
}

// DecodeAgent reads an agent's settings, or returns an *Error with every fault.
func DecodeAgent(data []byte) (*Agent, error) {
	return decodeChecked(data, (*Agent).check)
}

// DecodeTicket reads a change ticket's fields, or returns an *Error with every
// fault; whether its objects fit together is not checked here.
func DecodeTicket(data []byte) (*bwwire.TicketDocument, error) {
	return Decode[bwwire.TicketDocument](data)
}

// decodeChecked adds the faults across fields to those of single fields.
func decodeChecked[T any](data []byte, check func(*T, *FaultList)) (*T, error) {
	val, rep, ok := decodeReport[T](data)
	if ok {
		check(val, rep)
	}
	if err := rep.Err(); err != nil {
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

func (rt *Router) check(rep *FaultList) {
	rt.Peers.check(rep)
	rt.Operators.check(rep)
	rt.Platform.Credentials.check(rep)
	checkDistinct(rep, map[string]netip.AddrPort{
		"Peers.Address":     rt.Peers.Address,
		"Operators.Address": rt.Operators.Address,
	}, "Callers.Address", rt.Callers.Address)
	checkDistinct(rep, map[string]netip.AddrPort{
		"Operators.Address": rt.Operators.Address,
	}, "Peers.Address", rt.Peers.Address)
}

func (ag *Agent) check(rep *FaultList) {
	ag.Peers.check(rep)
	ag.Operators.check(rep)
	ag.Platform.Credentials.check(rep)
	checkDistinct(rep, map[string]netip.AddrPort{
		"Operators.Address": ag.Operators.Address,
	}, "Peers.Address", ag.Peers.Address)
}

// check fills in the advertised address and reports one that peers can't dial.
func (pl *PeerListener) check(rep *FaultList) {
	if !pl.Advertise.IsValid() {
		pl.Advertise = pl.Address
	}
	if pl.Advertise.IsValid() && pl.Advertise.Addr().IsUnspecified() {
		rep.Add("Peers.Advertise", "is required when Peers.Address names no single address")
	}
}

func (ol *OperatorListener) check(rep *FaultList) {
	if len(ol.Keys) == 0 && ol.Address.IsValid() && !ol.Address.Addr().IsLoopback() {
		rep.Add("Operators.Keys", "is required when Operators.Address is not a loopback address")
	}
	for ix, key := range ol.Keys {
		if _, err := key.Hash(); err != nil && key.SHA256 != "" {
			rep.Add("Operators.Keys["+strconv.Itoa(ix)+"].SHA256", err.Error())
		}
	}
}

func (crd *Credentials) check(rep *FaultList) {
	if (crd.SecretKey == "") == (crd.SecretKeyFile == "") {
		rep.Add("Platform.Credentials", "exactly one of SecretKey and SecretKeyFile is set")
	}
}

func checkDistinct(rep *FaultList, others map[string]netip.AddrPort, path string, addr netip.AddrPort) {
	for name, other := range others {
		if addr.IsValid() && addr.Port() != 0 && addr == other {
			rep.Add(path, "is the same address as "+name)
		}
	}
}
