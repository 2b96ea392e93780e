package tablestore

import (
	"context"
	"encoding/json"
	"errors"

	"github.com/gravitational/trace"

	"mulberryscale.example/platform"
)

// Store reads and writes the table in the platform's table service. It keeps
// nothing itself and is safe for concurrent use.
type Store struct {
	service platform.TableService
}

// New returns a store on a table service.
func New(service platform.TableService) *Store { return &Store{service: service} }

// head is what is current, with the ETag to write against.
type head struct {
	Entry
	etag platform.ETag
}

// Current reads which version is current, without its text: one small read.
// It returns ErrNoTable before the first apply.
func (s *Store) Current(ctx context.Context) (Entry, error) {
	h, err := s.readHead(ctx)
	if err != nil {
		return Entry{}, err
	}
	if h.Version == 0 {
		return Entry{}, trace.Wrap(ErrNoTable, "step table.current")
	}
	return h.Entry, nil
}

// Get reads the current version. It returns ErrNoTable before the first apply.
func (s *Store) Get(ctx context.Context) (Document, error) {
	entry, err := s.Current(ctx)
	if err != nil {
		return Document{}, err
	}
	return s.Version(ctx, entry.Version)
}

// Version reads one version, or ErrNoVersion.
func (s *Store) Version(ctx context.Context, n uint64) (Document, error) {
	record, err := s.service.Get(ctx, versionKey(n))
	if errors.Is(err, platform.ErrNotFound) {
		return Document{}, trace.Wrap(ErrNoVersion, "step table.version, version %d", n)
	}
	if err != nil {
		return Document{}, trace.Wrap(err, "step table.version, version %d, peer table service", n)
	}
	doc, err := decodeDocument(record.Value, n)
	if err != nil {
		return Document{}, trace.Wrap(err, "step table.version, peer table service")
	}
	return doc, nil
}

// History reads the newest versions, the newest first, at most limit of them.
// It makes one read for each.
func (s *Store) History(ctx context.Context, limit int) ([]Document, error) {
	h, err := s.readHead(ctx)
	if err != nil {
		return nil, err
	}
	var docs []Document
	for n := h.Version; n > 0 && len(docs) < limit; n-- {
		doc, err := s.Version(ctx, n)
		if err != nil {
			return nil, err
		}
		docs = append(docs, doc)
	}
	return docs, nil
}

// readHead returns a head of version 0 and no ETag before the first apply.
func (s *Store) readHead(ctx context.Context) (head, error) {
	record, err := s.service.Get(ctx, keyCurrent)
	if errors.Is(err, platform.ErrNotFound) {
		return head{}, nil
	}
	if err != nil {
		return head{}, trace.Wrap(err, "step table.current, peer table service")
	}
	h := head{etag: record.ETag}
	if err := json.Unmarshal(record.Value, &h.Entry); err != nil {
		return head{}, trace.Wrap(err, "step table.current, peer table service")
	}
	return h, nil
}
