package bwstream

import (
	"encoding/base64"
	"encoding/binary"
	"errors"
	"fmt"
	"net/netip"

	"bilberrywick/core/bwmodel"
)

// ErrInvalidHandle is returned for a text that is not a handle.
var ErrInvalidHandle = errors.New("not a generation handle")

// Cursor is a point in a generation's text: after Position whole tokens and
// Offset bytes of the token that follows them.
type Cursor struct {
	Position bwmodel.Position
	Offset   int
}

// Handle identifies a generation and the point from which any router can resume it.
type Handle struct {
	Request bwmodel.RequestID
	Epoch   bwmodel.Epoch
	// Holder is the router that holds a copy of the record; it may be unset.
	Holder netip.AddrPort
	// Agent is the agent that runs the attempt; it may be unset.
	Agent  netip.AddrPort
	Cursor Cursor
}

const (
	handleVersion = 1
	// MaxHandleLength is the largest length of a handle's text; two IPv6 addresses
	// need 93 characters.
	MaxHandleLength = 128
	// maxTokenBytes is the largest offset within a token, in bytes.
	maxTokenBytes = 1 << 10
)

// String encodes the handle in URL-safe base64, for URL paths and SSE event IDs.
func (hd Handle) String() string {
	var raw, txt [MaxHandleLength]byte
	buf := append(raw[:0], handleVersion)
	buf = append(buf, hd.Request[:]...)
	buf = binary.AppendUvarint(buf, uint64(hd.Epoch))
	buf = binary.AppendUvarint(buf, uint64(hd.Cursor.Position))
	buf = binary.AppendUvarint(buf, uint64(hd.Cursor.Offset))
	buf = appendAddress(buf, hd.Holder)
	buf = appendAddress(buf, hd.Agent)
	return string(base64.RawURLEncoding.AppendEncode(txt[:0], buf))
}

// ParseHandle decodes the text that String returns, or returns an error that
// wraps ErrInvalidHandle.
func ParseHandle(txt string) (Handle, error) {
	if len(txt) > MaxHandleLength {
		return Handle{}, fmt.Errorf("%w: %d characters, at most %d", ErrInvalidHandle, len(txt), MaxHandleLength)
	}
	buf, err := base64.RawURLEncoding.Strict().DecodeString(txt)
	if err != nil {
		return Handle{}, fmt.Errorf("%w: %w", ErrInvalidHandle, err)
	}
	hd, err := decodeHandle(buf)
	if err != nil {
		return Handle{}, err
	}
	if hd.String() != txt {
		return Handle{}, fmt.Errorf("%w: not in its shortest form", ErrInvalidHandle)
	}
	return hd, nil
}

func decodeHandle(buf []byte) (Handle, error) {
	var hd Handle
	if len(buf) < 1+len(hd.Request) || buf[0] != handleVersion {
		return Handle{}, fmt.Errorf("%w: unknown version or too short", ErrInvalidHandle)
	}
	buf = buf[1:]
	buf = buf[copy(hd.Request[:], buf):]
	var nums [3]uint64
	for ix := range nums {
		val, size := binary.Uvarint(buf)
		if size <= 0 {
			return Handle{}, fmt.Errorf("%w: malformed number", ErrInvalidHandle)
		}
		nums[ix] = val
		buf = buf[size:]
	}
	if nums[2] > maxTokenBytes {
		return Handle{}, fmt.Errorf("%w: offset %d, at most %d", ErrInvalidHandle, nums[2], maxTokenBytes)
	}
	hd.Epoch = bwmodel.Epoch(nums[0])
	hd.Cursor = Cursor{Position: bwmodel.Position(nums[1]), Offset: int(nums[2])}
	var err error
	if hd.Holder, buf, err = readAddress(buf); err != nil {
		return Handle{}, err
	}
	if hd.Agent, buf, err = readAddress(buf); err != nil {
		return Handle{}, err
	}
	if len(buf) != 0 {
		return Handle{}, fmt.Errorf("%w: %d bytes too many", ErrInvalidHandle, len(buf))
	}
	return hd, nil
}

// appendAddress appends the length of the IP address, the address without its
// IPv6 zone, and the port; only a zero length for an invalid address.
func appendAddress(buf []byte, addr netip.AddrPort) []byte {
	if !addr.IsValid() {
		return append(buf, 0)
	}
	ip := addr.Addr().WithZone("").AsSlice()
	buf = append(buf, byte(len(ip)))
	buf = append(buf, ip...)
	return binary.BigEndian.AppendUint16(buf, addr.Port())
}

// readAddress decodes the address at the start of buf and returns the remaining bytes.
func readAddress(buf []byte) (netip.AddrPort, []byte, error) {
	const portBytes = 2
	if len(buf) == 0 {
		return netip.AddrPort{}, nil, fmt.Errorf("%w: address is missing", ErrInvalidHandle)
	}
	size := int(buf[0])
	buf = buf[1:]
	if size == 0 {
		return netip.AddrPort{}, buf, nil
	}
	if len(buf) < size+portBytes {
		return netip.AddrPort{}, nil, fmt.Errorf("%w: address is cut off", ErrInvalidHandle)
	}
	ip, ok := netip.AddrFromSlice(buf[:size])
	if !ok {
		return netip.AddrPort{}, nil, fmt.Errorf("%w: address of %d bytes", ErrInvalidHandle, size)
	}
	port := binary.BigEndian.Uint16(buf[size:])
	return netip.AddrPortFrom(ip, port), buf[size+portBytes:], nil
}
