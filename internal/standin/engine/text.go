package engine

import (
	"encoding/binary"
	"fmt"
	"math"
	"math/rand/v2"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Shape of the length distribution: log-normal, with a tail of stragglers.
const (
	medianTokens    = 64
	lengthSigma     = 0.5
	stragglerShare  = 0.04
	stragglerFactor = 4
)

// syllables has 16 entries, so that a word of four carries 16 bits of its hash.
var syllables = [16]string{
	"ka", "to", "mi", "ru", "ne", "sha", "vo", "li",
	"pe", "da", "gu", "zi", "ho", "be", "fa", "wen",
}

// LengthOf is the whole length in tokens of the text for a prompt and seed,
// bounded by maxTokens.
func LengthOf(prompt string, seed int64, maxTokens int) int {
	return min(naturalLength(prompt, seed), maxTokens)
}

// lengthMark begins a prompt that says how long its text is to be, so that a
// workload can draw lengths of its own.
const lengthMark = "[length %d] "

// PromptOfLength marks a prompt so that its text has n tokens at the most, and
// just n unless max_tokens cuts it short.
func PromptOfLength(n int, prompt string) string { return fmt.Sprintf(lengthMark, n) + prompt }

// naturalLength is the length in tokens that the model would stop at by itself.
func naturalLength(prompt string, seed int64) int {
	var marked int
	if _, err := fmt.Sscanf(prompt, lengthMark, &marked); err == nil && marked > 0 {
		return marked
	}
	rng := rand.New(rand.NewPCG(xxhash.Sum64String(prompt), uint64(seed)))
	n := medianTokens * math.Exp(lengthSigma*rng.NormFloat64())
	if rng.Float64() < stragglerShare {
		n *= stragglerFactor
	}
	return max(1, int(n))
}

// Token is token i of the text for a prompt and seed, as produced by version.
// It begins with a space, so that a text is the concatenation of its tokens.
func Token(prompt string, seed int64, version uint64, i int) string {
	return word(xxhash.Sum64String(prompt), seed, version, i)
}

func word(promptHash uint64, seed int64, version uint64, i int) string {
	var key [32]byte
	binary.LittleEndian.PutUint64(key[0:], promptHash)
	binary.LittleEndian.PutUint64(key[8:], uint64(seed))
	binary.LittleEndian.PutUint64(key[16:], version)
	binary.LittleEndian.PutUint64(key[24:], uint64(i))
	h := xxhash.Sum64(key[:])
	return " " + syllables[h&15] + syllables[h>>4&15] + syllables[h>>8&15] + syllables[h>>12&15]
}

// promptTokens counts the tokens of a prompt: its words.
func promptTokens(prompt string) int { return len(strings.Fields(prompt)) }
