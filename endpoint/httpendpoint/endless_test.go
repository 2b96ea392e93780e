package httpendpoint_test

import (
	"testing"

	"mulberryscale.example/endpoint"
	"mulberryscale.example/endpoint/httpendpoint"
	"mulberryscale.example/internal/standin/endless"
)

// largestAnswer is the largest answer of an endpoint, in bytes, that is read.
const largestAnswer = 8 << 20

// TestBytesWithoutEndAreBrokenOff guards against endpoints that send bytes without end, in a head or a body.
func TestBytesWithoutEndAreBrokenOff(t *testing.T) {
	for name, call := range map[string]func(t *testing.T, addr string) error{
		"generate": func(t *testing.T, addr string) error {
			s, err := httpendpoint.NewEngine("http://"+addr).Generate(t.Context(), request(1))
			if err != nil {
				return err
			}
			defer s.Close()
			_, _, err = readAll(s)
			return err
		},
		"status": func(t *testing.T, addr string) error {
			_, err := httpendpoint.NewEngine("http://" + addr).Status(t.Context())
			return err
		},
		"service call": func(t *testing.T, addr string) error {
			_, err := httpendpoint.NewService("http://"+addr).Call(t.Context(), serviceRequest("GET"))
			return err
		},
	} {
		endless.Check(t, name, endless.Reader{Limit: largestAnswer, Call: call})
	}
}

// TestEndlessRefusalIsReadInPart guards against the body of an error without an end.
func TestEndlessRefusalIsReadInPart(t *testing.T) {
	server := endless.Start(t, endless.Answer{Start: "HTTP/1.1 500 Internal Server Error\r\n\r\n", Repeat: "aaaaaaaa"}, nil)
	engine := httpendpoint.NewEngine("http://" + server.Addr)
	if _, err := engine.Generate(t.Context(), request(1)); err == nil {
		t.Error("answered")
	}
	if err := engine.Load(t.Context(), endpoint.Order{}); err == nil {
		t.Error("ordered")
	}
	if sent := server.Sent(); sent > 4*largestAnswer {
		t.Errorf("%d bytes were read", sent)
	}
}
