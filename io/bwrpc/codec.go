package bwrpc

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"
	"storj.io/drpc"
)

// Codec encodes messages as CBOR, which carries netip and time values as they are.
type Codec struct {
	enc cbor.EncMode
	dec cbor.DecMode
}

// Bounds on a message, so that a malformed one can't exhaust memory.
const (
	maxArrayElements = 1 << 20
	maxMapPairs      = 1 << 16
	maxNestedLevels  = 16
)

// NewCodec returns the codec of the system's own messages, or an error when
// the library refuses its options.
func NewCodec() (*Codec, error) {
	enc, err := cbor.EncOptions{Time: cbor.TimeRFC3339Nano}.EncMode()
	if err != nil {
		return nil, fmt.Errorf("CBOR encoder: %w", err)
	}
	dec, err := cbor.DecOptions{
		MaxArrayElements: maxArrayElements,
		MaxMapPairs:      maxMapPairs,
		MaxNestedLevels:  maxNestedLevels,
	}.DecMode()
	if err != nil {
		return nil, fmt.Errorf("CBOR decoder: %w", err)
	}
	return &Codec{enc: enc, dec: dec}, nil
}

// Marshal returns the encoded message.
func (cod *Codec) Marshal(msg drpc.Message) ([]byte, error) { return cod.enc.Marshal(msg) }

// Unmarshal reads an encoded message into msg, a pointer to a struct.
func (cod *Codec) Unmarshal(buf []byte, msg drpc.Message) error { return cod.dec.Unmarshal(buf, msg) }

// meteredCodec tells the size of each message that it encodes.
type meteredCodec struct {
	*Codec
	method string
	sent   func(method string, size int)
}

// meter returns the codec itself when nobody is told.
func meter(cod *Codec, method string, sent func(string, int)) drpc.Encoding {
	if sent == nil {
		return cod
	}
	return &meteredCodec{Codec: cod, method: method, sent: sent}
}

// Marshal returns the encoded message.
func (mtr *meteredCodec) Marshal(msg drpc.Message) ([]byte, error) {
	buf, err := mtr.Codec.Marshal(msg)
	if err == nil {
		mtr.sent(mtr.method, len(buf))
	}
	return buf, err
}
