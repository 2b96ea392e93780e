package quictransport

import (
	"crypto/hkdf"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"

	"github.com/gravitational/trace"
	"github.com/quic-go/quic-go"
)

// resetKeyInfo separates the reset key from other keys derived from the private key.
const resetKeyInfo = "mulberryscale stateless reset "

// resetKey derives the stateless reset key, with which a restarted listener
// proves to its predecessor's peers that their connections no longer exist. It
// is the same for all successive processes that listen on addr with this private key.
func resetKey(config *tls.Config, addr string) (*quic.StatelessResetKey, error) {
	cert, err := config.GetCertificate(&tls.ClientHelloInfo{})
	if err != nil {
		return nil, trace.Wrap(err, "read the certificate")
	}
	secret, err := x509.MarshalPKCS8PrivateKey(cert.PrivateKey)
	if err != nil {
		return nil, trace.Wrap(err, "read the private key")
	}
	derived, err := hkdf.Key(sha256.New, secret, nil, resetKeyInfo+addr, len(quic.StatelessResetKey{}))
	if err != nil {
		return nil, trace.Wrap(err, "derive the reset key")
	}
	key := quic.StatelessResetKey(derived)
	return &key, nil
}
