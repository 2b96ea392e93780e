package quarantine

import "mulberryscale.example/internal/digest"

// Fingerprint identifies a content: requests of the same content have the same effect on the
// endpoints that run them, whatever their ids and whichever process receives them.
type Fingerprint string

// fpLength is 128 bits in hexadecimal digits, so that two contents of a deployment do
// not collide by chance.
const fpLength = 32

// FingerprintOf returns the fingerprint of the content that consists of the parts in their order.
func FingerprintOf(parts ...string) Fingerprint { return Fingerprint(digest.Of(parts...)[:fpLength]) }
