package keys

import (
	"crypto/tls"
	"crypto/x509"
	"time"

	"github.com/gravitational/trace"
)

// ALPN is the application protocol that both sides of a connection must offer.
const ALPN = "mulberry/1"

// Source provides the TLS settings of one process. Each handshake uses the
// certificates that are current at that time, so the settings stay valid when keys
// are rotated.
type Source interface {
	// ServerConfig is for listeners. It requires and verifies the peer's certificate.
	ServerConfig() *tls.Config
	// ClientConfig is for dialers. It verifies the peer's certificate by the
	// authority and its id, not by host name.
	ClientConfig() *tls.Config
}

// credentials holds a process's certificate and the authorities it trusts; it is immutable.
type credentials struct {
	cert tls.Certificate
	pool *x509.CertPool
}

// credentialsFunc returns the current credentials. It must be safe for concurrent use.
type credentialsFunc func() (*credentials, error)

// NewSource returns a Source with fixed certificates. caPEM may hold several
// authorities, each of which is trusted.
func NewSource(caPEM []byte, pair Pair) (Source, error) {
	m, err := parseCredentials(caPEM, pair)
	if err != nil {
		return nil, err
	}
	return &source{current: func() (*credentials, error) { return m, nil }}, nil
}

func parseCredentials(caPEM []byte, pair Pair) (*credentials, error) {
	cert, err := tls.X509KeyPair(pair.CertPEM, pair.KeyPEM)
	if err != nil {
		return nil, trace.Wrap(err, "keys: read the certificate and key")
	}
	if _, err := certificateID(cert.Leaf); err != nil {
		return nil, err
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(caPEM) {
		return nil, trace.BadParameter("keys: the authority file holds no certificate")
	}
	return &credentials{cert: cert, pool: pool}, nil
}

type source struct {
	current credentialsFunc
}

func (s *source) ServerConfig() *tls.Config {
	return &tls.Config{
		MinVersion:             tls.VersionTLS13,
		NextProtos:             []string{ALPN},
		ClientAuth:             tls.RequireAnyClientCert,
		SessionTicketsDisabled: true,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return s.certificate()
		},
		VerifyConnection: s.verifier(x509.ExtKeyUsageClientAuth),
	}
}

func (s *source) ClientConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: []string{ALPN},
		// Peers are identified by id, not by host name: VerifyConnection below
		// verifies the chain that this option leaves unverified.
		InsecureSkipVerify: true,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return s.certificate()
		},
		VerifyConnection: s.verifier(x509.ExtKeyUsageServerAuth),
	}
}

func (s *source) certificate() (*tls.Certificate, error) {
	m, err := s.current()
	if err != nil {
		return nil, err
	}
	return &m.cert, nil
}

func (s *source) verifier(usage x509.ExtKeyUsage) func(tls.ConnectionState) error {
	return func(state tls.ConnectionState) error {
		m, err := s.current()
		if err != nil {
			return err
		}
		return verifyPeer(state, m.pool, usage, time.Now())
	}
}

func verifyPeer(state tls.ConnectionState, pool *x509.CertPool, usage x509.ExtKeyUsage, now time.Time) error {
	if len(state.PeerCertificates) == 0 {
		return trace.AccessDenied("keys: the peer showed no certificate")
	}
	intermediates := x509.NewCertPool()
	for _, c := range state.PeerCertificates[1:] {
		intermediates.AddCert(c)
	}
	_, err := state.PeerCertificates[0].Verify(x509.VerifyOptions{
		Roots:         pool,
		Intermediates: intermediates,
		CurrentTime:   now,
		KeyUsages:     []x509.ExtKeyUsage{usage},
	})
	if err != nil {
		return trace.Wrap(err, "keys: unknown peer")
	}
	_, err = certificateID(state.PeerCertificates[0])
	return err
}

// PeerID returns the process id in the certificate that the peer presented. It fails
// if the peer presented none or the certificate names no id.
func PeerID(state tls.ConnectionState) (string, error) {
	if len(state.PeerCertificates) == 0 {
		return "", trace.AccessDenied("keys: the peer showed no certificate")
	}
	return certificateID(state.PeerCertificates[0])
}

func certificateID(cert *x509.Certificate) (string, error) {
	for _, u := range cert.URIs {
		if u.Scheme == uriScheme && idPattern.MatchString(u.Opaque) {
			return u.Opaque, nil
		}
	}
	if len(cert.DNSNames) > 0 && idPattern.MatchString(cert.DNSNames[0]) {
		return cert.DNSNames[0], nil
	}
	return "", trace.AccessDenied("keys: the certificate names no process id")
}
