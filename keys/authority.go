package keys

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net/url"
	"regexp"
	"time"

	"github.com/gravitational/trace"
)

// Validity of an authority's own certificate and of those it issues.
const (
	AuthorityValidity   = 10 * 365 * 24 * time.Hour
	CertificateValidity = 365 * 24 * time.Hour
	// clockSkew is how far a peer's clock may be behind the issuer's.
	clockSkew = 5 * time.Minute
)

const (
	uriScheme      = "mulberry"
	serialBits     = 128
	pemCertificate = "CERTIFICATE"
	pemPrivateKey  = "PRIVATE KEY"
)

var idPattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,127}$`)

// Authority is a certificate authority for the processes of one deployment. It is
// meant for development and small installations without an authority of their own.
type Authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
	pair Pair
}

// Pair is a certificate and its private key, both PEM. Formatting it prints neither.
type Pair struct {
	CertPEM []byte
	KeyPEM  []byte
}

// String hides the private key.
func (p Pair) String() string { return "keys.Pair(hidden)" }

// GoString hides the private key from %#v.
func (p Pair) GoString() string { return p.String() }

// NewDevAuthority creates an authority with a new key and a self-signed certificate.
func NewDevAuthority() (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, trace.Wrap(err, "keys: generate the authority's key")
	}
	serial, err := newSerial()
	if err != nil {
		return nil, err
	}
	now := time.Now()
	template := &x509.Certificate{
		SerialNumber:          serial,
		Subject:               pkix.Name{CommonName: "mulberryscale development authority"},
		NotBefore:             now.Add(-clockSkew),
		NotAfter:              now.Add(AuthorityValidity),
		IsCA:                  true,
		BasicConstraintsValid: true,
		MaxPathLenZero:        true,
		KeyUsage:              x509.KeyUsageCertSign | x509.KeyUsageCRLSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	if err != nil {
		return nil, trace.Wrap(err, "keys: sign the authority's certificate")
	}
	return newAuthority(der, key)
}

// LoadAuthority restores an authority from the result of Authority.Pair.
func LoadAuthority(pair Pair) (*Authority, error) {
	der, err := decodeBlock(pair.CertPEM, pemCertificate)
	if err != nil {
		return nil, trace.Wrap(err, "keys: read the authority's certificate")
	}
	keyDER, err := decodeBlock(pair.KeyPEM, pemPrivateKey)
	if err != nil {
		return nil, trace.Wrap(err, "keys: read the authority's key")
	}
	parsed, err := x509.ParsePKCS8PrivateKey(keyDER)
	if err != nil {
		return nil, trace.Wrap(err, "keys: parse the authority's key")
	}
	key, ok := parsed.(*ecdsa.PrivateKey)
	if !ok {
		return nil, trace.BadParameter("keys: the authority's key is not an ECDSA key")
	}
	return newAuthority(der, key)
}

func newAuthority(der []byte, key *ecdsa.PrivateKey) (*Authority, error) {
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, trace.Wrap(err, "keys: parse the authority's certificate")
	}
	if !cert.IsCA {
		return nil, trace.BadParameter("keys: the certificate is not an authority's")
	}
	if !key.PublicKey.Equal(cert.PublicKey) {
		return nil, trace.BadParameter("keys: the authority's certificate and key do not belong together")
	}
	pair, err := encodePair(der, key)
	if err != nil {
		return nil, err
	}
	return &Authority{cert: cert, key: key, pair: pair}, nil
}

// CertPEM returns the authority's certificate, which every process needs to verify its peers.
func (a *Authority) CertPEM() []byte { return a.pair.CertPEM }

// Pair returns the authority's certificate and private key, for the issuer only.
func (a *Authority) Pair() Pair { return a.pair }

// Issue creates a key and certificate for the process id, which has 1 to 128
// letters, digits, ".", "_" or "-" and begins with a letter or digit.
func (a *Authority) Issue(id string) (Pair, error) {
	if !idPattern.MatchString(id) {
		return Pair{}, trace.BadParameter("keys: bad process id %q", id)
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return Pair{}, trace.Wrap(err, "keys: generate a key for %q", id)
	}
	serial, err := newSerial()
	if err != nil {
		return Pair{}, err
	}
	now := time.Now()
	template := &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: id},
		URIs:         []*url.URL{{Scheme: uriScheme, Opaque: id}},
		NotBefore:    now.Add(-clockSkew),
		NotAfter:     now.Add(CertificateValidity),
		KeyUsage:     x509.KeyUsageDigitalSignature,
		ExtKeyUsage:  []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, key.Public(), a.key)
	if err != nil {
		return Pair{}, trace.Wrap(err, "keys: sign the certificate of %q", id)
	}
	return encodePair(der, key)
}

// Source issues a pair for id and returns a Source with it that trusts only this authority.
func (a *Authority) Source(id string) (Source, error) {
	pair, err := a.Issue(id)
	if err != nil {
		return nil, err
	}
	return NewSource(a.CertPEM(), pair)
}

func newSerial() (*big.Int, error) {
	limit := new(big.Int).Lsh(big.NewInt(1), serialBits)
	serial, err := rand.Int(rand.Reader, limit)
	if err != nil {
		return nil, trace.Wrap(err, "keys: draw a serial number")
	}
	return serial, nil
}

func encodePair(der []byte, key *ecdsa.PrivateKey) (Pair, error) {
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return Pair{}, trace.Wrap(err, "keys: encode a key")
	}
	return Pair{
		CertPEM: pem.EncodeToMemory(&pem.Block{Type: pemCertificate, Bytes: der}),
		KeyPEM:  pem.EncodeToMemory(&pem.Block{Type: pemPrivateKey, Bytes: keyDER}),
	}, nil
}

func decodeBlock(data []byte, kind string) ([]byte, error) {
	block, _ := pem.Decode(data)
	if block == nil || block.Type != kind {
		return nil, trace.BadParameter("want a PEM block %q", kind)
	}
	return block.Bytes, nil
}
