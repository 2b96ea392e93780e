// Package digest identifies contents by a hash of their parts.
package digest

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
)

// Of returns the SHA-256 of parts as hexadecimal text. Parts are told apart by
// their lengths, so that "a", "bc" and "ab", "c" differ.
func Of(parts ...string) string {
	d := sha256.New()
	for _, p := range parts {
		fmt.Fprintf(d, "%d:%s", len(p), p)
	}
	return hex.EncodeToString(d.Sum(nil))
}
