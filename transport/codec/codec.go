// Package codec encodes the messages between our processes as CBOR and bounds
// what a peer can make us read: the size of a message, its nesting and the
// number of elements in its arrays and maps.
package codec

import (
	"errors"
	"io"

	"github.com/fxamacker/cbor/v2"
	"github.com/gravitational/trace"
)

// Bounds on one message.
const (
	// MaxMessage is the largest encoded message in bytes.
	MaxMessage       = 16 << 20
	maxNestedLevels  = 16
	maxArrayElements = 1 << 17
	maxMapPairs      = 1 << 16
)

// ErrTooLarge says that a message is larger than MaxMessage.
var ErrTooLarge = errors.New("codec: message too large")

var (
	encMode = must(encOptions().EncMode())
	decMode = must(decOptions().DecMode())
)

func encOptions() cbor.EncOptions {
	return cbor.EncOptions{
		// Text keeps the nanoseconds and the zone of a time.
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
	}
}

func must[T any](v T, err error) T {
	if err != nil {
		panic(err) // only when the constant options above contradict each other
	}
	return v
}

// Marshal encodes one message. It returns ErrTooLarge over MaxMessage bytes.
func Marshal(msg any) ([]byte, error) {
	data, err := encMode.Marshal(msg)
	if err != nil {
		return nil, trace.Wrap(err, "codec: encode %T", msg)
	}
	if len(data) > MaxMessage {
		return nil, trace.Wrap(ErrTooLarge, "codec: encode %T of %d bytes", msg, len(data))
	}
	return data, nil
}

// Unmarshal decodes one whole message into msg, a pointer. Unknown fields are ignored.
func Unmarshal(data []byte, msg any) error {
	if len(data) > MaxMessage {
		return trace.Wrap(ErrTooLarge, "codec: decode %T of %d bytes", msg, len(data))
	}
	if err := decMode.Unmarshal(data, msg); err != nil {
		return trace.Wrap(err, "codec: decode %T", msg)
	}
	return nil
}

// Decoder reads a sequence of messages. It is for one goroutine.
type Decoder struct {
	bounded boundedReader
	dec     *cbor.Decoder
}

// NewDecoder returns a Decoder that reads from r. Memory grows with what has
// arrived, never with what a message announces.
func NewDecoder(r io.Reader) *Decoder {
	d := &Decoder{bounded: boundedReader{r: r}}
	d.dec = decMode.NewDecoder(&d.bounded)
	return d
}

// Decode reads the next message into msg, a pointer. It returns io.EOF between
// messages, io.ErrUnexpectedEOF within one and ErrTooLarge over MaxMessage
// bytes. After an error other than a type mismatch the sequence is unusable.
func (d *Decoder) Decode(msg any) error {
	d.bounded.left = MaxMessage
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

// boundedReader fails once it has read left bytes.
type boundedReader struct {
	r    io.Reader
	left int
}

func (b *boundedReader) Read(p []byte) (int, error) {
	if b.left <= 0 {
		return 0, ErrTooLarge
	}
	if len(p) > b.left {
		p = p[:b.left]
	}
	n, err := b.r.Read(p)
	b.left -= n
	return n, err
}
