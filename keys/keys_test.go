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

func newAuthorityForTest(t *testing.T) *Authority {
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

// handshake connects two sources over TLS and returns the peer id that each side read.
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
	// The client's handshake completes before the server has verified its
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

// loopbackPair returns two ends of a buffered connection: on an unbuffered net.Pipe
// both sides of a refused handshake would block in their writes.
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

func TestPeersIdentifyEachOther(t *testing.T) {
	a := newAuthorityForTest(t)
	server, client := sourceOf(t, a, "agent-1"), sourceOf(t, a, "entry-1")
	s, c, err := handshake(server, client)
	if err != nil || s != "entry-1" || c != "agent-1" {
		t.Fatalf("got %q, %q, %v", s, c, err)
	}
}

func TestPeersOfOtherAuthorityAreRefused(t *testing.T) {
	ours, theirs := newAuthorityForTest(t), newAuthorityForTest(t)
	known := sourceOf(t, ours, "agent-1")
	stranger := sourceOf(t, theirs, "agent-1")
	if _, _, err := handshake(known, stranger); err == nil {
		t.Error("a client of another authority was accepted")
	}
	if _, _, err := handshake(stranger, known); err == nil {
		t.Error("a server of another authority was accepted")
	}
}

func TestClientWithoutCertificateIsRefused(t *testing.T) {
	a := newAuthorityForTest(t)
	server := sourceOf(t, a, "agent-1")
	if _, _, err := handshake(server, anonymousClient{}); err == nil {
		t.Fatal("a client without a certificate was accepted")
	}
}

// anonymousClient is a Source of a client that presents no certificate and accepts
// any server.
type anonymousClient struct{}

func (anonymousClient) ServerConfig() *tls.Config { return nil }
func (anonymousClient) ClientConfig() *tls.Config {
	return &tls.Config{InsecureSkipVerify: true, NextProtos: []string{ALPN}}
}

func TestExpiredCertificateIsRefused(t *testing.T) {
	a := newAuthorityForTest(t)
	pair := issue(t, a, "entry-1")
	m, err := parseCredentials(a.CertPEM(), pair)
	check(t, err)
	state := tls.ConnectionState{}
	state.PeerCertificates = append(state.PeerCertificates, m.cert.Leaf)
	usage := m.cert.Leaf.ExtKeyUsage[0]
	check(t, verifyPeer(state, m.pool, usage, time.Now()))
	if err := verifyPeer(state, m.pool, usage, time.Now().Add(CertificateValidity+time.Hour)); err == nil {
		t.Fatal("an expired certificate was accepted")
	}
}

func TestBadIDs(t *testing.T) {
	a := newAuthorityForTest(t)
	for _, id := range []string{"", "a/b", "-a", "a b", strings.Repeat("a", 129), "a\nb"} {
		if _, err := a.Issue(id); err == nil {
			t.Errorf("a certificate for id %q was issued", id)
		}
	}
}

func TestIssuedPairCannotBeLoadedAsAuthority(t *testing.T) {
	a := newAuthorityForTest(t)
	pair := issue(t, a, "entry-1")
	if _, err := LoadAuthority(pair); err == nil {
		t.Fatal("an issued pair was loaded as an authority")
	}
	again, err := LoadAuthority(a.Pair())
	check(t, err)
	server := sourceOf(t, again, "agent-1")
	client := sourceOf(t, a, "entry-1")
	_, _, err = handshake(server, client)
	check(t, err)
}

func TestPairDoesNotPrintItsKey(t *testing.T) {
	a := newAuthorityForTest(t)
	for _, format := range []string{"%v", "%+v", "%s", "%#v", "%q"} {
		if text := fmt.Sprintf(format, a.Pair()); strings.Contains(text, "PRIVATE") {
			t.Errorf("%s prints the key", format)
		}
	}
}

// keyFiles holds the paths of one process's three files.
type keyFiles struct{ ca, cert, key string }

func newKeyFiles(t *testing.T) keyFiles {
	d := t.TempDir()
	return keyFiles{filepath.Join(d, "ca.pem"), filepath.Join(d, "cert.pem"), filepath.Join(d, "key.pem")}
}

func (d keyFiles) write(t *testing.T, pair Pair, authorities ...*Authority) {
	t.Helper()
	var certs [][]byte
	for _, a := range authorities {
		certs = append(certs, a.CertPEM())
	}
	check(t, WriteCertificates(d.ca, certs...))
	check(t, WritePair(d.cert, d.key, pair))
}

// load returns a Source of the files; errors of later reloads are passed to onError.
func (d keyFiles) load(t *testing.T, onError func(error)) Source {
	t.Helper()
	s, err := LoadFiles(d.ca, d.cert, d.key, onError)
	check(t, err)
	return s
}

// TestRotationWithoutRestart rotates the authority with a Source that is loaded once:
// both authorities are trusted, then the certificate is replaced, then the old
// authority is removed.
func TestRotationWithoutRestart(t *testing.T) {
	d := newKeyFiles(t)
	synctest.Test(t, func(t *testing.T) {
		before, after := newAuthorityForTest(t), newAuthorityForTest(t)
		oldPeer, newPeer := sourceOf(t, before, "entry-1"), sourceOf(t, after, "entry-1")
		newPair := issue(t, after, "agent-1")
		d.write(t, issue(t, before, "agent-1"), before)
		s := d.load(t, func(err error) { t.Error(err) })
		checkAccepts := func(step string, client Source, want bool) {
			t.Helper()
			if _, _, err := handshake(s, client); (err == nil) != want {
				t.Fatalf("%s: got %v, want accepted %v", step, err, want)
			}
		}
		checkAccepts("old authority only, old peer", oldPeer, true)
		checkAccepts("old authority only, new peer", newPeer, false)
		d.write(t, newPair, before, after)
		time.Sleep(ReloadInterval)
		if _, _, err := handshake(newPeer, s); err != nil {
			t.Fatalf("the new peer refuses the new certificate: %v", err)
		}
		d.write(t, newPair, after)
		time.Sleep(ReloadInterval)
		checkAccepts("new authority only, old peer", oldPeer, false)
		checkAccepts("new authority only, new peer", newPeer, true)
	})
}

func TestInvalidFilesKeepCurrentCertificates(t *testing.T) {
	d := newKeyFiles(t)
	synctest.Test(t, func(t *testing.T) {
		a := newAuthorityForTest(t)
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
			t.Errorf("got errors %v, want one for each reload", failures)
		}
	})
	if _, err := LoadFiles(d.ca, d.cert, d.key, nil); err == nil || !strings.Contains(err.Error(), d.ca) {
		t.Fatalf("first read of a missing file: got %v", err)
	}
}

func TestKeyFileMode(t *testing.T) {
	a := newAuthorityForTest(t)
	d := newKeyFiles(t)
	d.write(t, a.Pair(), a)
	info, err := os.Stat(d.key)
	check(t, err)
	if info.Mode().Perm() != 0o600 {
		t.Fatalf("mode %v", info.Mode())
	}
	got, err := ReadPair(d.cert, d.key)
	check(t, err)
	if string(got.KeyPEM) != string(a.Pair().KeyPEM) {
		t.Fatal("the key read back differs from the one written")
	}
}
