package bwrpc

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"
	"storj.io/drpc"
)

// Codec encodes messages as CBOR, which preserves netip and time values.
type Codec struct {
	enc cbor.EncMode
	dec cbor.DecMode
}

// Limits of a message, so that a malformed one can't exhaust memory.
const (
	maxArrayElements = 1 << 20
	maxMapPairs      = 1 << 16
	maxNestedLevels  = 16
)

// NewCodec returns the codec of the messages between the system's processes, or
// an error when the CBOR library rejects its options.
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

// Unmarshal decodes buf into msg, a pointer to a struct.
func (cod *Codec) Unmarshal(buf []byte, msg drpc.Message) error { return cod.dec.Unmarshal(buf, msg) }

// meteredCodec reports the size in bytes of each message that it encodes.
type meteredCodec struct {
	*Codec
	method string
	onSend func(method string, size int)
}

// metered returns an encoding that reports the sizes of a method's messages to
// onSend, or the codec itself when onSend is nil.
func metered(cod *Codec, method string, onSend func(string, int)) drpc.Encoding {
	if onSend == nil {
		return cod
	}
	return &meteredCodec{Codec: cod, method: method, onSend: onSend}
}

// Marshal returns the encoded message and reports its size.
func (mc *meteredCodec) Marshal(msg drpc.Message) ([]byte, error) {
	buf, err := mc.Codec.Marshal(msg)
	if err == nil {
		mc.onSend(mc.method, len(buf))
	}
	return buf, err
}
