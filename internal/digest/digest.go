// Package digest hashes sequences of strings.
package digest

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
)

// Of returns the SHA-256 of parts in hexadecimal. The length of each part is
// hashed too, so that "a", "bc" and "ab", "c" differ.
func Of(parts ...string) string {
	d := sha256.New()
	for _, p := range parts {
		fmt.Fprintf(d, "%d:%s", len(p), p)
	}
	return hex.EncodeToString(d.Sum(nil))
}
