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

// ReloadInterval is how often, at most, handshakes look for changed files.
const ReloadInterval = time.Second

const (
	keyFileMode  = 0o600
	certFileMode = 0o644
)

// LoadFiles returns a Source that reads PEM files and, at handshakes, reads
// them again when they have changed. caFile may hold several authorities: while
// one replaces another, put both in it. Files that cannot be read or do not
// belong together leave the certificates in force as they are, since a file
// may be met half written; the first reading must succeed. Later failures are
// told to failed, which must not block.
func LoadFiles(caFile, certFile, keyFile string, failed func(error)) (Source, error) {
	f := &files{paths: [...]string{caFile, certFile, keyFile}, failed: failed}
	if err := f.reread(time.Now()); err != nil {
		return nil, err
	}
	return &source{current: f.current}, nil
}

// files is a provider over three PEM files: authorities, certificate and key.
type files struct {
	paths  [3]string
	failed func(error)

	mu       sync.Mutex
	checked  time.Time
	contents [3][]byte
	inForce  *material
}

func (f *files) current() (*material, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	if now.Sub(f.checked) >= ReloadInterval {
		if err := f.reread(now); err != nil {
			f.failed(err) // the certificates in force stay
		}
	}
	return f.inForce, nil
}

// reread puts the files' certificates in force if they have changed and are whole.
func (f *files) reread(now time.Time) error {
	f.checked = now
	var contents [3][]byte
	for i, path := range f.paths {
		body, err := os.ReadFile(path)
		if err != nil {
			return trace.Wrap(err, "keys: read %s", path)
		}
		contents[i] = body
	}
	if f.inForce != nil && equal(contents, f.contents) {
		return nil
	}
	m, err := parseMaterial(contents[0], Pair{CertPEM: contents[1], KeyPEM: contents[2]})
	if err != nil {
		return trace.Wrap(err, "keys: files %s, %s, %s", f.paths[0], f.paths[1], f.paths[2])
	}
	f.contents = contents
	f.inForce = m
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

// WritePair writes a pair as PEM files, the key readable by its owner only.
// Existing files are replaced whole.
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

// ReadPair reads what WritePair wrote.
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

// replaceFile writes a file beside path and renames it, so that readers see
// the old content or the new one.
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
