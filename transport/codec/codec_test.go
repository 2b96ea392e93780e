package codec

import (
	"bytes"
	"errors"
	"io"
	"reflect"
	"strings"
	"testing"
	"time"

	"mulberryscale.example/wire"
)

type small struct {
	N int `cbor:"1,keyasint"`
}

func decodeAll(data []byte, msg any) error {
	return NewDecoder(bytes.NewReader(data)).Decode(msg)
}

func TestBounds(t *testing.T) {
	tests := []struct {
		name string
		data []byte
		want error // nil: any error
	}{
		{"announced 4 GiB byte string, nothing follows", []byte{0x5a, 0xff, 0xff, 0xff, 0xff}, io.ErrUnexpectedEOF},
		{"byte string over the bound", append([]byte{0x5a, 0x01, 0x00, 0x00, 0x01}, make([]byte, MaxMessage+1)...), ErrTooLarge},
		{"array of 2^32-1 elements", []byte{0x9a, 0xff, 0xff, 0xff, 0xff}, nil},
		{"map of 2^32-1 pairs", []byte{0xba, 0xff, 0xff, 0xff, 0xff}, nil},
		{"nested arrays", append(bytes.Repeat([]byte{0x81}, 100), 0x00), nil},
		{"indefinite length", []byte{0x9f, 0x01, 0xff}, nil},
		{"tag", []byte{0xc0, 0x01}, nil},
		{"cut short", []byte{0xa1, 0x01}, io.ErrUnexpectedEOF},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var v any
			err := decodeAll(tt.data, &v)
			if err == nil || err == io.EOF || (tt.want != nil && !errors.Is(err, tt.want)) {
				t.Fatalf("got %v, want %v", err, tt.want)
			}
		})
	}
}

func TestLargestMessagePasses(t *testing.T) {
	const header = 5
	text := strings.Repeat("x", MaxMessage-header)
	data, err := Marshal(text)
	if err != nil {
		t.Fatal(err)
	}
	var got string
	if err := decodeAll(data, &got); err != nil || len(got) != len(text) {
		t.Fatalf("got %d bytes, %v", len(got), err)
	}
	if _, err := Marshal(text + "x"); !errors.Is(err, ErrTooLarge) {
		t.Fatalf("one byte more: got %v", err)
	}
}

func TestUnknownFieldsAreIgnored(t *testing.T) {
	type newer struct {
		N     int            `cbor:"1,keyasint"`
		Extra map[string]int `cbor:"99,keyasint"`
	}
	data, err := Marshal(newer{N: 3, Extra: map[string]int{"a": 1}})
	if err != nil {
		t.Fatal(err)
	}
	var got small
	if err := Unmarshal(data, &got); err != nil || got.N != 3 {
		t.Fatalf("got %+v, %v", got, err)
	}
}

func TestDecodeSequenceThenEOF(t *testing.T) {
	var buf bytes.Buffer
	for i := range 3 {
		data, err := Marshal(small{N: i})
		if err != nil {
			t.Fatal(err)
		}
		buf.Write(data)
	}
	d := NewDecoder(&buf)
	for i := range 3 {
		var m small
		if err := d.Decode(&m); err != nil || m.N != i {
			t.Fatalf("message %d: got %+v, %v", i, m, err)
		}
	}
	if err := d.Decode(&small{}); err != io.EOF {
		t.Fatalf("at the end: got %v, want io.EOF itself", err)
	}
}

// FuzzRequest checks that no input makes the decoder panic, and that an accepted
// message is unchanged by encoding and decoding it again.
func FuzzRequest(f *testing.F) {
	seed, err := Marshal(wire.Request{
		Header: wire.Header{From: "entry-1", Incarnation: "i", TableVersion: 3},
		Run: &wire.Run{RunID: "r", Key: "row/s", Row: "row", Budget: time.Second,
			Call: &wire.Call{Method: "GET", Path: "/", Header: map[string][]string{"A": {"b"}}}},
		PushTable: &wire.TableDocument{Version: 1, Body: []byte("name\n"), AcceptedAt: time.Unix(1, 2).UTC()},
	})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(seed)
	f.Add([]byte{0x9a, 0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, data []byte) {
		var first wire.Request
		if decodeAll(data, &first) != nil {
			return
		}
		again, err := Marshal(first)
		if err != nil {
			t.Skip() // RFC 3339 can't express times outside its range of years
		}
		var second wire.Request
		if err := Unmarshal(again, &second); err != nil {
			t.Fatalf("second round trip: %v", err)
		}
		third, err := Marshal(second)
		if err != nil || (!bytes.Equal(again, third) && !reflect.DeepEqual(first, second)) {
			t.Fatalf("round trips differ: %x, %x, %v", again, third, err)
		}
	})
}

type withMap struct {
	Headers map[string]string `cbor:"1,keyasint"`
}

// Guards against a value that is accepted and stored but can't be decoded again.
func TestMarshalRefusesWhatUnmarshalWould(t *testing.T) {
	nested := any(1)
	for range maxNestedLevels + 1 {
		nested = []any{nested}
	}
	pairs := map[int]int{}
	for i := range maxMapPairs + 1 {
		pairs[i] = i
	}
	for name, msg := range map[string]any{
		"elements": make([]int, maxArrayElements+1), "pairs": pairs, "levels": nested, "bytes": make([]byte, MaxMessage),
	} {
		t.Run(name, func(t *testing.T) {
			if _, err := Marshal(msg); !errors.Is(err, ErrTooLarge) {
				t.Fatalf("got %v", err)
			}
		})
	}
	for name, msg := range map[string]any{
		"elements": make([]int, maxArrayElements), "empty": withMap{},
	} {
		t.Run("largest "+name, func(t *testing.T) {
			data, err := Marshal(msg)
			if err != nil {
				t.Fatal(err)
			}
			back := reflect.New(reflect.TypeOf(msg))
			if err := Unmarshal(data, back.Interface()); err != nil || !reflect.DeepEqual(back.Elem().Interface(), msg) {
				t.Fatalf("got %v, %v", back.Elem().Interface(), err)
			}
		})
	}
}

// Guards against the results of a job that can't be decoded since one text is no valid UTF-8.
func TestTextOfAnyBytesIsDecoded(t *testing.T) {
	type withText struct {
		Text string `cbor:"1,keyasint"`
	}
	msg, got := withText{"a\xff\xfeb"}, withText{}
	data, err := Marshal(msg)
	if err != nil {
		t.Fatal(err)
	}
	if err := Unmarshal(data, &got); err != nil || got != msg {
		t.Fatalf("got %q, %v", got.Text, err)
	}
}

// Guards against two encodings of one value, with which a retried write is another write.
func TestEncodingIsTheSameEachTime(t *testing.T) {
	headers := map[string]string{}
	for i := range 30 {
		headers[strings.Repeat("h", i)] = "v"
	}
	first, err := Marshal(withMap{headers})
	if err != nil {
		t.Fatal(err)
	}
	for range 20 {
		if again, err := Marshal(withMap{headers}); err != nil || !bytes.Equal(first, again) {
			t.Fatalf("another encoding of the same value, %v", err)
		}
	}
}

func BenchmarkMarshalItems(b *testing.B) {
	type item struct {
		ID      string            `cbor:"1,keyasint"`
		Path    string            `cbor:"2,keyasint"`
		Headers map[string]string `cbor:"3,keyasint,omitempty"`
		Body    []byte            `cbor:"4,keyasint,omitempty"`
	}
	items := make([]item, 236)
	for i := range items {
		items[i] = item{"e5b2907c14da6f38", "/pufi791/3/91c4", map[string]string{
			"X-Model": "daka510000", "X-Token-Usage": "1016,400", "X-Prompt-Prefix": "9c2e41:1000,5d07b8:16", "X-Length-Hint": "12"}, make([]byte, 600)}
	}
	for b.Loop() {
		if _, err := Marshal(items); err != nil {
			b.Fatal(err)
		}
	}
}
