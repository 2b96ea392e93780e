// Package codec encodes the messages between the system's processes as CBOR. It
// limits what a peer can make the decoder read: the size of a message, its
// nesting depth and the number of elements in its arrays and maps.
package codec

import (
	"errors"
	"fmt"
	"io"

	"github.com/fxamacker/cbor/v2"
	"github.com/gravitational/trace"
)

// Limits of one message.
const (
	// MaxMessage is the largest encoded message in bytes.
	MaxMessage       = 16 << 20
	maxNestedLevels  = 16
	maxArrayElements = 1 << 17
	maxMapPairs      = 1 << 16
)

// ErrTooLarge is returned for a message that exceeds one of the limits.
var ErrTooLarge = errors.New("codec: message too large")

var (
	encMode = must(encOptions().EncMode())
	decMode = must(decOptions().DecMode())
)

func encOptions() cbor.EncOptions {
	return cbor.EncOptions{
		// A map has one encoding, so that a retried write is the same write.
		Sort: cbor.SortBytewiseLexical,
		// The text format preserves a time's nanoseconds and zone.
		Time:        cbor.TimeRFC3339Nano,
		IndefLength: cbor.IndefLengthForbidden,
		TagsMd:      cbor.TagsForbidden,
	}
}

func decOptions() cbor.DecOptions {
	return cbor.DecOptions{
		MaxNestedLevels:  maxNestedLevels,
		MaxArrayElements: maxArrayElements,
		MaxMapPairs:      maxMapPairs,
		IndefLength:      cbor.IndefLengthForbidden,
		TagsMd:           cbor.TagsForbidden,
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		// An engine's text may hold any bytes, and Marshal writes it as it is.
		UTF8: cbor.UTF8DecodeInvalid,
	}
}

func must[T any](v T, err error) T {
	if err != nil {
		panic(err) // only when the constant options above contradict each other
	}
	return v
}

// Marshal encodes one message. It returns ErrTooLarge if the encoding exceeds a limit,
// so that Unmarshal and Decoder can read all that it returns.
func Marshal(msg any) ([]byte, error) {
	data, err := encMode.Marshal(msg)
	if err != nil {
		return nil, trace.Wrap(err, "codec: encode %T", msg)
	}
	if len(data) > MaxMessage {
		return nil, trace.Wrap(ErrTooLarge, "codec: encode %T of %d bytes", msg, len(data))
	}
	if err := decMode.Wellformed(data); err != nil {
		return nil, trace.Wrap(fmt.Errorf("%w: %v", ErrTooLarge, err), "codec: encode %T", msg)
	}
	return data, nil
}

// Unmarshal decodes one complete message into msg, a pointer. Unknown fields are
// ignored. It returns ErrTooLarge if data exceeds MaxMessage bytes.
func Unmarshal(data []byte, msg any) error {
	if len(data) > MaxMessage {
		return trace.Wrap(ErrTooLarge, "codec: decode %T of %d bytes", msg, len(data))
	}
	if err := decMode.Unmarshal(data, msg); err != nil {
		return trace.Wrap(err, "codec: decode %T", msg)
	}
	return nil
}

// Decoder reads a sequence of messages. It is not safe for concurrent use.
type Decoder struct {
	bounded boundedReader
	dec     *cbor.Decoder
}

// NewDecoder returns a Decoder that reads from r. Its memory grows with the bytes
// received, never with the lengths that a message declares.
func NewDecoder(r io.Reader) *Decoder {
	d := &Decoder{bounded: boundedReader{r: r}}
	d.dec = decMode.NewDecoder(&d.bounded)
	return d
}

// Decode reads the next message into msg, a pointer. It returns io.EOF if the
// input is exhausted between messages, io.ErrUnexpectedEOF if it is exhausted
// within one, and ErrTooLarge for a message of more than MaxMessage bytes. After
// an error other than a type mismatch the sequence can't be read further.
func (d *Decoder) Decode(msg any) error {
	d.bounded.remaining = MaxMessage
	start := d.dec.NumBytesRead()
	err := d.dec.Decode(msg)
	if errors.Is(err, io.EOF) {
		return io.EOF
	}
	if err != nil {
		return trace.Wrap(err, "codec: decode %T", msg)
	}
	if d.dec.NumBytesRead()-start > MaxMessage {
		return trace.Wrap(ErrTooLarge, "codec: decode %T", msg)
	}
	return nil
}

// boundedReader returns ErrTooLarge once it has read remaining bytes.
type boundedReader struct {
	r         io.Reader
	remaining int
}

func (b *boundedReader) Read(p []byte) (int, error) {
	if b.remaining <= 0 {
		return 0, ErrTooLarge
	}
	if len(p) > b.remaining {
		p = p[:b.remaining]
	}
	n, err := b.r.Read(p)
	b.remaining -= n
	return n, err
}
