// Package tablesync replicates the newest version of the table to each process:
// Holder holds the version in force, Poller polls the table service at a bounded
// rate, and Spread disseminates versions between our processes.
package tablesync

import (
	"bytes"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/gravitational/trace"

	"mulberryscale.example/table"
	"mulberryscale.example/wire"
)

// BodyMismatchError means that a document has the version in force but a different
// body or format. Versions are immutable, so this is a fault of the table service or
// of a peer; the document in force stays.
type BodyMismatchError struct{ Version uint64 }

// Error implements error.
func (e *BodyMismatchError) Error() string {
	return fmt.Sprintf("table version %d: a second document with another body", e.Version)
}

// Holder holds the newest version of the table that this process has received. It
// never reverts to an older one. It is safe for concurrent use.
type Holder struct {
	installing sync.Mutex
	state      atomic.Pointer[holderState]
}

// holderState is immutable; each install replaces it.
type holderState struct {
	snapshot *table.Snapshot
	document *wire.TableDocument
	replaced chan struct{}
}

// NewHolder returns a holder without a version.
func NewHolder() *Holder {
	h := &Holder{}
	h.state.Store(&holderState{replaced: make(chan struct{})})
	return h
}

// Current returns the snapshot in force, nil before the first install.
func (h *Holder) Current() *table.Snapshot { return h.state.Load().snapshot }

// Version returns the version in force, 0 before the first install.
func (h *Holder) Version() uint64 { return h.state.Load().version() }

// Document returns the document in force, nil before the first install. The caller must
// not change it.
func (h *Holder) Document() *wire.TableDocument { return h.state.Load().document }

// Changed returns a channel that is closed at the next install. Call it before
// Current in order to miss no install.
func (h *Holder) Changed() <-chan struct{} { return h.state.Load().replaced }

func (s *holderState) version() uint64 {
	if s.snapshot == nil {
		return 0
	}
	return s.snapshot.Version
}

// Install puts a document in force if it is newer than the one in force. It ignores
// an older document and a repeated one without an error. It returns a
// BodyMismatchError for the same version with a different body, and an error that
// wraps table.Errors for a document that does not parse; neither is installed.
func (h *Holder) Install(doc wire.TableDocument) (installed bool, err error) {
	newer, err := h.state.Load().supersededBy(&doc)
	if err != nil || !newer {
		return false, err
	}
	rows, err := table.Parse(doc.Format, doc.Body)
	if err != nil {
		return false, trace.Wrap(err, "step table.install, version %d", doc.Version)
	}
	h.installing.Lock()
	defer h.installing.Unlock()
	old := h.state.Load()
	// Another document may have been installed while this one was parsed.
	newer, err = old.supersededBy(&doc)
	if err != nil || !newer {
		return false, err
	}
	doc.Body = slices.Clone(doc.Body)
	h.state.Store(&holderState{
		snapshot: table.NewSnapshot(doc.Version, doc.AcceptedAt, rows),
		document: &doc,
		replaced: make(chan struct{}),
	})
	close(old.replaced)
	return true, nil
}

// supersededBy reports whether the document is newer than the state. It returns a
// BodyMismatchError for a different document of the same version.
func (s *holderState) supersededBy(doc *wire.TableDocument) (bool, error) {
	have := s.version()
	if doc.Version != have {
		return doc.Version > have, nil
	}
	if have == 0 {
		return false, trace.BadParameter("table document without a version")
	}
	if !bytes.Equal(doc.Body, s.document.Body) || doc.Format != s.document.Format {
		return false, &BodyMismatchError{Version: have}
	}
	return false, nil
}
