// Package generation keeps what has been generated of one answer while it
// moves between runs on different engines.
package generation

import (
	"slices"

	"mulberryscale.example/api"
	"mulberryscale.example/endpoint"
	"mulberryscale.example/wire"
)

// Progress is the text of one answer so far, with the weight versions that produced it.
type Progress struct {
	Text  string
	Spans []api.VersionSpan
}

// Add appends a chunk, or starts again from it when it is whole.
func (p *Progress) Add(c *wire.Chunk) {
	if c.Whole {
		*p = Progress{}
	}
	p.Text += c.Text
	for _, s := range c.Spans {
		p.Spans = endpoint.AddSpan(p.Spans, s.Version, s.Tokens)
	}
}

// Clone returns a copy that shares nothing.
func (p *Progress) Clone() Progress {
	return Progress{Text: p.Text, Spans: slices.Clone(p.Spans)}
}

// Tokens counts the tokens so far.
func (p *Progress) Tokens() int { return CountTokens(p.Spans) }

// FreshFor says whether all of it was produced by minVersion or newer weights.
func (p *Progress) FreshFor(minVersion uint64) bool {
	return Fresh(p.Spans, minVersion)
}

// CountTokens counts the tokens of spans.
func CountTokens(spans []api.VersionSpan) int {
	n := 0
	for _, s := range spans {
		n += s.Tokens
	}
	return n
}

// Fresh says whether no span is older than minVersion.
func Fresh(spans []api.VersionSpan, minVersion uint64) bool {
	return len(spans) == 0 || api.OldestVersion(spans) >= minVersion
}

// OldestAllowed is the oldest version that a trainer at version current with
// the given staleness bound accepts.
func OldestAllowed(current, bound uint64) uint64 {
	if current <= bound {
		return 0
	}
	return current - bound
}
