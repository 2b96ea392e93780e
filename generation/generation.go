// Package generation tracks the text generated so far for one answer, which may come
// from several runs on different engines.
package generation

import (
	"slices"

	"mulberryscale.example/api"
	"mulberryscale.example/endpoint"
	"mulberryscale.example/wire"
)

// Progress is the text of one answer so far and the weight versions that produced it.
type Progress struct {
	Text  string
	Spans []api.VersionSpan
}

// Add appends a chunk. A chunk marked Whole replaces the progress so far.
func (p *Progress) Add(c *wire.Chunk) {
	if c.Whole {
		*p = Progress{}
	}
	p.Text += c.Text
	for _, s := range c.Spans {
		p.Spans = endpoint.AddSpan(p.Spans, s.Version, s.Tokens)
	}
}

// Clone returns a deep copy.
func (p *Progress) Clone() Progress {
	return Progress{Text: p.Text, Spans: slices.Clone(p.Spans)}
}

// Tokens returns the number of tokens so far.
func (p *Progress) Tokens() int { return CountTokens(p.Spans) }

// FreshFor reports whether minVersion or newer weights produced all of the text.
func (p *Progress) FreshFor(minVersion uint64) bool {
	return Fresh(p.Spans, minVersion)
}

// CountTokens returns the number of tokens of the spans.
func CountTokens(spans []api.VersionSpan) int {
	n := 0
	for _, s := range spans {
		n += s.Tokens
	}
	return n
}

// Fresh reports whether no span is older than minVersion.
func Fresh(spans []api.VersionSpan, minVersion uint64) bool {
	return len(spans) == 0 || api.OldestVersion(spans) >= minVersion
}

// OldestAllowed returns the oldest version that a trainer at version current with
// the given staleness bound accepts.
func OldestAllowed(current, bound uint64) uint64 {
	if current <= bound {
		return 0
	}
	return current - bound
}
