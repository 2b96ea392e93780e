package routing

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"mulberryscale.example/membership"
)

// Names of the scorers.
const (
	ScorerLoad   = "load"
	ScorerZone   = "zone"
	ScorerPrefix = "prefix"
)

// Load prefers agents with fewer runs in relation to their slots.
type Load struct{}

// Name implements Scorer.
func (Load) Name() string { return ScorerLoad }

// Score implements Scorer: 1 when idle, 1/2 when all slots are used and none waits.
func (Load) Score(_ *Request, a *membership.Agent) float64 {
	slots := float64(max(a.Report.Slots, 1))
	return slots / (slots + float64(a.Load()))
}

// Zone prefers agents in the entry's own zone.
type Zone struct{}

// Name implements Scorer.
func (Zone) Name() string { return ScorerZone }

// Score implements Scorer.
func (Zone) Score(req *Request, a *membership.Agent) float64 {
	if a.Zone == req.Zone {
		return 1
	}
	return 0
}

// Prefix prefers the same agents for the same prompt, by rendezvous hashing. The
// engines' cache events, which come late and with gaps, are not needed.
type Prefix struct{}

// Name implements Scorer.
func (Prefix) Name() string { return ScorerPrefix }

// Score implements Scorer.
func (Prefix) Score(req *Request, a *membership.Agent) float64 {
	if req.PrefixKey == 0 {
		return 0
	}
	var key [8]byte
	binary.LittleEndian.PutUint64(key[:], req.PrefixKey)
	d := xxhash.New()
	d.Write(key[:])
	d.WriteString(a.ID)
	return float64(d.Sum64()>>11) / (1 << 53)
}

// PrefixKey returns the routing key of a prompt.
func PrefixKey(prompt string) uint64 { return xxhash.Sum64String(prompt) }
