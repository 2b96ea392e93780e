// Package tablesync keeps the newest version of the table in each process:
// Holder has the version in force, Poller reads the table service sparsely and
// Spread passes versions on between our processes.
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

// BodyMismatchError says that a document has the version in force and another
// body. Versions are written once, so this is a fault of the table service or
// of a peer; the version in force stays.
type BodyMismatchError struct{ Version uint64 }

// Error implements error.
func (e *BodyMismatchError) Error() string {
	return fmt.Sprintf("table version %d: a second document with another body", e.Version)
}

// Holder has the newest version of the table that this process has seen. It
// never goes back to an older one. It is safe for concurrent use.
type Holder struct {
	installing sync.Mutex
	state      atomic.Pointer[holderState]
}

// holderState is replaced as a whole at each install.
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

// Current is the version in force, nil before the first.
func (h *Holder) Current() *table.Snapshot { return h.state.Load().snapshot }

// Version is the number of the version in force, 0 before the first.
func (h *Holder) Version() uint64 { return h.state.Load().version() }

// Document is the document in force, nil before the first. It must not be changed.
func (h *Holder) Document() *wire.TableDocument { return h.state.Load().document }

// Changed returns a channel that is closed at the next install. Take it before
// reading Current so as to miss no install.
func (h *Holder) Changed() <-chan struct{} { return h.state.Load().replaced }

func (s *holderState) version() uint64 {
	if s.snapshot == nil {
		return 0
	}
	return s.snapshot.Version
}

// Install puts a document in force if it is newer than the one in force. An
// older one, or the same again, is passed over without an error. It returns a
// BodyMismatchError for the same version with another body, and an error that
// wraps table.Errors for a document that does not parse; neither is installed.
func (h *Holder) Install(doc wire.TableDocument) (installed bool, err error) {
	newer, err := h.state.Load().admits(&doc)
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
	// Another install may have come first while this document was parsed.
	newer, err = old.admits(&doc)
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

// admits reports whether the document is newer than the state.
func (s *holderState) admits(doc *wire.TableDocument) (bool, error) {
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
