package keys

import (
	"bytes"
	"errors"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/gravitational/trace"
)

// ReloadInterval is the minimum time between two checks for changed files. The checks
// are made during handshakes.
const ReloadInterval = time.Second

const (
	keyFileMode  = 0o600
	certFileMode = 0o644
)

// LoadFiles returns a Source that reads PEM files and, during handshakes, reloads
// them when they have changed. caFile may hold several authorities: during the
// rotation of an authority, put the old and the new one in it. Files that cannot be
// read or do not match each other leave the current certificates in use, since a
// file may be read while it is half written; only the first read must succeed. Later
// errors are passed to onError, which must not block.
func LoadFiles(caFile, certFile, keyFile string, onError func(error)) (Source, error) {
	f := &files{paths: [...]string{caFile, certFile, keyFile}, onError: onError}
	if err := f.reload(time.Now()); err != nil {
		return nil, err
	}
	return &source{current: f.current}, nil
}

// files loads credentials from three PEM files: authorities, certificate and key.
type files struct {
	paths   [3]string
	onError func(error)

	mu        sync.Mutex
	lastCheck time.Time
	contents  [3][]byte
	active    *credentials
}

func (f *files) current() (*credentials, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	if now.Sub(f.lastCheck) >= ReloadInterval {
		if err := f.reload(now); err != nil {
			f.onError(err) // the current certificates stay in use
		}
	}
	return f.active, nil
}

// reload replaces the credentials if the files have changed and are valid.
func (f *files) reload(now time.Time) error {
	f.lastCheck = now
	var contents [3][]byte
	for i, path := range f.paths {
		body, err := os.ReadFile(path)
		if err != nil {
			return trace.Wrap(err, "keys: read %s", path)
		}
		contents[i] = body
	}
	if f.active != nil && equal(contents, f.contents) {
		return nil
	}
	m, err := parseCredentials(contents[0], Pair{CertPEM: contents[1], KeyPEM: contents[2]})
	if err != nil {
		return trace.Wrap(err, "keys: files %s, %s, %s", f.paths[0], f.paths[1], f.paths[2])
	}
	f.contents = contents
	f.active = m
	return nil
}

func equal(a, b [3][]byte) bool {
	for i := range a {
		if !bytes.Equal(a[i], b[i]) {
			return false
		}
	}
	return true
}

// WritePair writes a pair as PEM files; the key is readable by its owner only. Each
// existing file is replaced atomically.
func WritePair(certFile, keyFile string, pair Pair) error {
	if err := replaceFile(keyFile, pair.KeyPEM, keyFileMode); err != nil {
		return err
	}
	return WriteCertificates(certFile, pair.CertPEM)
}

// WriteCertificates writes certificates, such as an authority's, as one PEM file.
func WriteCertificates(path string, certPEM ...[]byte) error {
	return replaceFile(path, bytes.Join(certPEM, nil), certFileMode)
}

// ReadPair reads the files that WritePair wrote.
func ReadPair(certFile, keyFile string) (Pair, error) {
	cert, err := os.ReadFile(certFile)
	if err != nil {
		return Pair{}, trace.Wrap(err, "keys: read %s", certFile)
	}
	key, err := os.ReadFile(keyFile)
	if err != nil {
		return Pair{}, trace.Wrap(err, "keys: read %s", keyFile)
	}
	return Pair{CertPEM: cert, KeyPEM: key}, nil
}

// replaceFile replaces a file atomically: it writes a temporary file in the same
// directory and renames it, so that readers see the old content or the new one.
func replaceFile(path string, body []byte, mode os.FileMode) (err error) {
	temp, err := os.CreateTemp(filepath.Dir(path), ".keys-*")
	if err != nil {
		return trace.Wrap(err, "keys: write %s", path)
	}
	defer func() {
		if err != nil {
			err = errors.Join(err, os.Remove(temp.Name()))
		}
	}()
	_, writeErr := temp.Write(body)
	if err := errors.Join(writeErr, temp.Chmod(mode), temp.Close()); err != nil {
		return trace.Wrap(err, "keys: write %s", path)
	}
	if err := os.Rename(temp.Name(), path); err != nil {
		return trace.Wrap(err, "keys: write %s", path)
	}
	return nil
}
