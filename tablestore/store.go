package tablestore

import (
	"context"
	"encoding/json"
	"errors"

	"github.com/gravitational/trace"

	"mulberryscale.example/platform"
)

// Store reads and writes the table in the platform's table service. It has no
// state of its own and is safe for concurrent use.
type Store struct {
	service platform.TableService
}

// New returns a Store that uses the table service.
func New(service platform.TableService) *Store { return &Store{service: service} }

// head is the current version, with the ETag for a conditional write.
type head struct {
	Entry
	etag platform.ETag
}

// Current reads the metadata of the current version, which is one small read.
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

// Version reads one version. It returns ErrNoVersion if there is none.
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

// History reads up to limit of the newest versions, newest first, with one read
// for each.
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

// readHead reads the head. Before the first apply it has version 0 and no ETag.
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
