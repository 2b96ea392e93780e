package quarantine

import "mulberryscale.example/internal/digest"

// Fingerprint names a content: requests of one content do the same to the endpoints
// that run them, whatever their ids and whichever process they come to.
type Fingerprint string

// subjectLength is 128 bits in hexadecimal digits, so that no two contents of a
// deployment share a name by chance.
const subjectLength = 32

// FingerprintOf names the content that parts make up, in their order.
func FingerprintOf(parts ...string) Fingerprint {
	return Fingerprint(digest.Of(parts...)[:subjectLength])
}
