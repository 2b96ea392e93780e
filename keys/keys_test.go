package keys

import (
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

func check(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

func newAuthorityT(t *testing.T) *Authority {
	t.Helper()
	a, err := NewDevAuthority()
	check(t, err)
	return a
}

func sourceOf(t *testing.T, a *Authority, id string) Source {
	t.Helper()
	s, err := a.Source(id)
	check(t, err)
	return s
}

func issue(t *testing.T, a *Authority, id string) Pair {
	t.Helper()
	pair, err := a.Issue(id)
	check(t, err)
	return pair
}

// handshake connects two sources over TLS and returns the ids that each saw.
func handshake(server, client Source) (seenByServer, seenByClient string, err error) {
	a, b, err := loopbackPair()
	if err != nil {
		return "", "", err
	}
	defer a.Close()
	defer b.Close()
	s, c := tls.Server(a, server.ServerConfig()), tls.Client(b, client.ClientConfig())
	serverErr := make(chan error, 1)
	go func() {
		_, err := s.Write([]byte{1}) // after the handshake
		a.Close()
		serverErr <- err
	}()
	// The client's handshake ends before the server has checked its
	// certificate; the byte shows that the server accepts it.
	_, clientErr := c.Read(make([]byte, 1))
	if errors.Is(clientErr, io.EOF) {
		clientErr = errors.New("refused by the server")
	}
	b.Close()
	if err := errors.Join(<-serverErr, clientErr); err != nil {
		return "", "", err
	}
	seenByServer, serverIDErr := PeerID(s.ConnectionState())
	seenByClient, clientIDErr := PeerID(c.ConnectionState())
	return seenByServer, seenByClient, errors.Join(serverIDErr, clientIDErr)
}

// loopbackPair returns two ends of a buffered connection: on net.Pipe both
// sides of a refused handshake block in their writes.
func loopbackPair() (a, b net.Conn, err error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, nil, err
	}
	defer ln.Close()
	b, err = net.Dial("tcp", ln.Addr().String())
	if err != nil {
		return nil, nil, err
	}
	a, err = ln.Accept()
	return a, b, err
}

func TestBothSidesLearnTheOthersID(t *testing.T) {
	a := newAuthorityT(t)
	server, client := sourceOf(t, a, "agent-1"), sourceOf(t, a, "entry-1")
	s, c, err := handshake(server, client)
	if err != nil || s != "entry-1" || c != "agent-1" {
		t.Fatalf("got %q, %q, %v", s, c, err)
	}
}

func TestStrangersAreRefused(t *testing.T) {
	ours, theirs := newAuthorityT(t), newAuthorityT(t)
	known := sourceOf(t, ours, "agent-1")
	stranger := sourceOf(t, theirs, "agent-1")
	if _, _, err := handshake(known, stranger); err == nil {
		t.Error("a client of another authority was let in")
	}
	if _, _, err := handshake(stranger, known); err == nil {
		t.Error("a server of another authority was believed")
	}
}

func TestClientWithoutCertificateIsRefused(t *testing.T) {
	a := newAuthorityT(t)
	server := sourceOf(t, a, "agent-1")
	if _, _, err := handshake(server, bare{}); err == nil {
		t.Fatal("a client without a certificate was let in")
	}
}

// bare is a client that shows no certificate and believes anyone.
type bare struct{}

func (bare) ServerConfig() *tls.Config { return nil }
func (bare) ClientConfig() *tls.Config {
	return &tls.Config{InsecureSkipVerify: true, NextProtos: []string{ALPN}}
}

func TestExpiredCertificateIsRefused(t *testing.T) {
	a := newAuthorityT(t)
	pair := issue(t, a, "entry-1")
	m, err := parseMaterial(a.CertPEM(), pair)
	check(t, err)
	state := tls.ConnectionState{}
	state.PeerCertificates = append(state.PeerCertificates, m.cert.Leaf)
	usage := m.cert.Leaf.ExtKeyUsage[0]
	check(t, verifyPeer(state, m.pool, usage, time.Now()))
	if err := verifyPeer(state, m.pool, usage, time.Now().Add(CertificateValidity+time.Hour)); err == nil {
		t.Fatal("an expired certificate was believed")
	}
}

func TestBadIDs(t *testing.T) {
	a := newAuthorityT(t)
	for _, id := range []string{"", "a/b", "-a", "a b", strings.Repeat("a", 129), "a\nb"} {
		if _, err := a.Issue(id); err == nil {
			t.Errorf("id %q was issued", id)
		}
	}
}

func TestAuthorityCannotBeForgedByAnIssuedPair(t *testing.T) {
	a := newAuthorityT(t)
	pair := issue(t, a, "entry-1")
	if _, err := LoadAuthority(pair); err == nil {
		t.Fatal("an issued pair was taken for an authority")
	}
	again, err := LoadAuthority(a.Pair())
	check(t, err)
	server := sourceOf(t, again, "agent-1")
	client := sourceOf(t, a, "entry-1")
	_, _, err = handshake(server, client)
	check(t, err)
}

func TestPairHidesItsKey(t *testing.T) {
	a := newAuthorityT(t)
	for _, format := range []string{"%v", "%+v", "%s", "%#v", "%q"} {
		if text := fmt.Sprintf(format, a.Pair()); strings.Contains(text, "PRIVATE") {
			t.Errorf("%s shows the key", format)
		}
	}
}

// dir is a directory with the three files of one process.
type dir struct{ ca, cert, key string }

func newDir(t *testing.T) dir {
	d := t.TempDir()
	return dir{filepath.Join(d, "ca.pem"), filepath.Join(d, "cert.pem"), filepath.Join(d, "key.pem")}
}

func (d dir) write(t *testing.T, pair Pair, authorities ...*Authority) {
	t.Helper()
	var certs [][]byte
	for _, a := range authorities {
		certs = append(certs, a.CertPEM())
	}
	check(t, WriteCertificates(d.ca, certs...))
	check(t, WritePair(d.cert, d.key, pair))
}

// load loads the files; failures of later readings are handed to failed.
func (d dir) load(t *testing.T, failed func(error)) Source {
	t.Helper()
	s, err := LoadFiles(d.ca, d.cert, d.key, failed)
	check(t, err)
	return s
}

// A whole rotation of the authority: both are trusted, then the certificate is
// replaced, then the old authority goes; the Source is loaded once.
func TestRotationWithoutRestart(t *testing.T) {
	d := newDir(t)
	synctest.Test(t, func(t *testing.T) {
		before, after := newAuthorityT(t), newAuthorityT(t)
		oldPeer, newPeer := sourceOf(t, before, "entry-1"), sourceOf(t, after, "entry-1")
		newPair := issue(t, after, "agent-1")
		d.write(t, issue(t, before, "agent-1"), before)
		s := d.load(t, func(err error) { t.Error(err) })
		accepts := func(step string, client Source, want bool) {
			t.Helper()
			if _, _, err := handshake(s, client); (err == nil) != want {
				t.Fatalf("%s: got %v, want accepted %v", step, err, want)
			}
		}
		accepts("old authority only, old peer", oldPeer, true)
		accepts("old authority only, new peer", newPeer, false)
		d.write(t, newPair, before, after)
		time.Sleep(ReloadInterval)
		if _, _, err := handshake(newPeer, s); err != nil {
			t.Fatalf("the new peer refuses the new certificate: %v", err)
		}
		d.write(t, newPair, after)
		time.Sleep(ReloadInterval)
		accepts("new authority only, old peer", oldPeer, false)
		accepts("new authority only, new peer", newPeer, true)
	})
}

func TestHalfWrittenFilesLeaveTheOldOnesInForce(t *testing.T) {
	d := newDir(t)
	synctest.Test(t, func(t *testing.T) {
		a := newAuthorityT(t)
		peer := sourceOf(t, a, "entry-1")
		d.write(t, issue(t, a, "agent-1"), a)
		var failures []error
		s := d.load(t, func(err error) { failures = append(failures, err) })
		other := issue(t, a, "agent-1")
		check(t, os.WriteFile(d.cert, other.CertPEM, 0o644)) // does not fit the key
		time.Sleep(ReloadInterval)
		_, _, err := handshake(s, peer)
		check(t, err)
		check(t, os.Remove(d.ca))
		time.Sleep(ReloadInterval)
		_, _, err = handshake(s, peer)
		check(t, err)
		if len(failures) != 2 || !strings.Contains(failures[1].Error(), d.ca) {
			t.Errorf("told of %v, want one failure for each reading", failures)
		}
	})
	if _, err := LoadFiles(d.ca, d.cert, d.key, nil); err == nil || !strings.Contains(err.Error(), d.ca) {
		t.Fatalf("the first reading of a missing file: got %v", err)
	}
}

func TestKeyFileIsForItsOwnerOnly(t *testing.T) {
	a := newAuthorityT(t)
	d := newDir(t)
	d.write(t, a.Pair(), a)
	info, err := os.Stat(d.key)
	check(t, err)
	if info.Mode().Perm() != 0o600 {
		t.Fatalf("mode %v", info.Mode())
	}
	got, err := ReadPair(d.cert, d.key)
	check(t, err)
	if string(got.KeyPEM) != string(a.Pair().KeyPEM) {
		t.Fatal("the key was not read back")
	}
}
