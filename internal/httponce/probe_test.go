package httponce

import (
	"net"
	"testing"
)

func TestRefusesDetectsListener(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := l.Addr().String()
	if Refuses(t.Context(), addr) {
		t.Error("a listener refuses connections")
	}
	l.Close()
	if !Refuses(t.Context(), addr) {
		t.Error("a port without a listener refuses no connections")
	}
}
