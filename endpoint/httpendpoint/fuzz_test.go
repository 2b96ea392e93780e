package httpendpoint

import (
	"bytes"
	"io"
	"testing"
)

// FuzzStream checks that whatever an engine sends, Next returns io.EOF only after
// a finish reason.
func FuzzStream(f *testing.F) {
	f.Add([]byte("data: {\"choices\":[{\"text\":\" a\",\"finish_reason\":\"stop\"}],\"tokens\":1}\n\ndata: [DONE]\n\n"))
	f.Add([]byte("data: {\"choices\":[{\"text\":\" a\"}]}\n\ndata: [DONE]\n\n"))
	f.Add([]byte("data: {\"choices\":[]}\n\ndata: {\n\n"))
	f.Add([]byte("event: x\ndata\n\n\xff: \n"))
	f.Fuzz(func(t *testing.T, answer []byte) {
		s := newStream("engine", func() {}, io.NopCloser(bytes.NewReader(answer)))
		defer s.Close()
		last := ""
		for {
			chunk, err := s.Next()
			if err == nil {
				last = chunk.FinishReason
				continue
			}
			if err == io.EOF && last == "" {
				t.Fatal("io.EOF without a finish reason")
			}
			return
		}
	})
}
