package httpendpoint_test

import (
	"maps"
	"testing"

	"mulberryscale.example/endpoint"
	"mulberryscale.example/endpoint/httpendpoint"
	"mulberryscale.example/internal/standin/endless"
)

const (
	// largestAnswer is the largest answer of an endpoint, in bytes, that is read.
	largestAnswer = 8 << 20
	// socketBuffers is what the sockets of a connection may hold beside what the client has read.
	socketBuffers = 16 << 20
)

// TestBytesWithoutEndAreBrokenOff guards against endpoints that send bytes without end, in a head or a body.
func TestBytesWithoutEndAreBrokenOff(t *testing.T) {
	readers := map[string]func(t *testing.T, url string) error{
		"generate": func(t *testing.T, url string) error {
			s, err := httpendpoint.NewEngine(url).Generate(t.Context(), request(1))
			if err != nil {
				return err
			}
			defer s.Close()
			_, _, err = readAll(s)
			return err
		},
		"status": func(t *testing.T, url string) error {
			_, err := httpendpoint.NewEngine(url).Status(t.Context())
			return err
		},
		"service call": func(t *testing.T, url string) error {
			_, err := httpendpoint.NewService(url).Call(t.Context(), serviceRequest("GET"))
			return err
		},
	}
	answers := endless.Heads()
	maps.Copy(answers, endless.Bodies())
	for name, read := range readers {
		for kind, answer := range answers {
			t.Run(name+"/"+kind, func(t *testing.T) {
				server := endless.Start(t, answer, nil)
				if err := read(t, "http://"+server.Addr); err == nil {
					t.Error("answered")
				}
				if sent := server.Sent(); sent > largestAnswer+socketBuffers {
					t.Errorf("%d bytes were read, at most %d are allowed", sent, largestAnswer)
				}
			})
		}
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
	if sent := server.Sent(); sent > 2*socketBuffers {
		t.Errorf("%d bytes were read", sent)
	}
}
