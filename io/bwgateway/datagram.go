package bwgateway

import (
	"crypto/hmac"
	"crypto/sha256"
	"errors"

	"github.com/fxamacker/cbor/v2"

	"bilberrywick/core/bwforward"
	"bilberrywick/core/bwmodel"
)

// maxDatagramBytes is the largest size of a datagram that is read.
const maxDatagramBytes = 8 << 10

// datagram is an encoded packet with its sender and signature.
type datagram struct {
	Member bwmodel.MemberID
	Packet []byte
	Sum    []byte
}

// packet is the content of a datagram. One of its pointers is set; their names
// and those of their fields are part of the encoding.
type packet struct {
	// Relay asks the receiver to send the packet to the other gateways of its zone.
	Relay         bool                `cbor:",omitempty"`
	Note          *bwforward.PeerNote `cbor:",omitempty"`
	Fragment      *fragment           `cbor:",omitempty"`
	NoteFragment  *fragment           `cbor:",omitempty"`
	Probe         *tableProbe         `cbor:",omitempty"`
	LoanRequest   *loanRequest        `cbor:",omitempty"`
	Loan          *loan               `cbor:",omitempty"`
	PermitRequest *PermitRequest      `cbor:",omitempty"`
	Permit        *permitReply        `cbor:",omitempty"`
	RolloutReport *RolloutReport      `cbor:",omitempty"`
	RollbackNote  *RollbackNote       `cbor:",omitempty"`
}

// tableProbe says that the sender tries to read a table after a failure.
type tableProbe struct{ Table string }

// encode returns a signed datagram.
func (prs *Peers) encode(pkt packet) ([]byte, bool) {
	dgm := datagram{Member: prs.cfg.Member}
	var err error
	if dgm.Packet, err = cbor.Marshal(pkt); err == nil {
		dgm.Sum = sign(prs.Key(), dgm.Packet)
	}
	data, err := cbor.Marshal(dgm)
	if err != nil {
		prs.cfg.Log.Error("datagram can't be encoded", "Error", err)
	}
	return data, err == nil
}

func sign(key, data []byte) []byte {
	sum := hmac.New(sha256.New, key)
	// Write of a hash never returns an error.
	_, _ = sum.Write(data)
	return sum.Sum(nil)
}

// decode verifies a datagram and returns its packet. It returns
// errUnknownSender if there is no key for the sender or the signature is
// wrong.
func (prs *Peers) decode(data []byte) (packet, error) {
	var dgm datagram
	var pkt packet
	if err := cbor.Unmarshal(data, &dgm); err != nil {
		return pkt, err
	}
	key := (*prs.keys.Load())[dgm.Member]
	if key == nil || !hmac.Equal(dgm.Sum, sign(key, dgm.Packet)) {
		return pkt, errUnknownSender
	}
	return pkt, cbor.Unmarshal(dgm.Packet, &pkt)
}

var errUnknownSender = errors.New("unknown sender or invalid signature")
