package tablestore

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/gravitational/trace"

	"mulberryscale.example/platform"
	"mulberryscale.example/retry"
	"mulberryscale.example/table"
)

// Bounds of the attempts of an apply, which is retried to resolve its outcome after a
// lost reply.
const (
	maxAttempts = 8
	firstDelay  = 100 * time.Millisecond
	maxDelay    = 2 * time.Second
)

// ApplyRequest is an edit that replaces the whole table.
type ApplyRequest struct {
	// Base is the version from which the edit was made; 0 if there is none yet.
	Base uint64
	// ApplyID is unique for each edit, and the same in its retries.
	ApplyID string
	Author  string
	// Format is table.FormatCSV or table.FormatYAML.
	Format string
	Body   []byte
	// rollbackOf is the version that Rollback restores; 0 for an edit.
	rollbackOf uint64
}

// RollbackRequest restores the text of an older version as a new version.
type RollbackRequest struct {
	// To is the version to restore.
	To uint64
	// Base is the version that the operator saw as current.
	Base    uint64
	ApplyID string
	Author  string
}

// Apply makes an edit the next version. It returns table.Errors for a text that
// does not parse, ConflictError if another edit was applied first,
// OutcomeUnknownError if the edit may or may not have taken effect, and
// ApplyIDReusedError. Any other error means that this call wrote nothing.
//
// The preconditions of the write are that the current version is still Base and
// that the apply id is unused. It is therefore idempotent: it can be retried after
// a lost reply, and at most one attempt takes effect.
func (s *Store) Apply(ctx context.Context, req ApplyRequest) (Entry, error) {
	if req.ApplyID == "" {
		return Entry{}, trace.BadParameter("step table.apply: the apply id is empty")
	}
	if _, err := table.Parse(req.Format, req.Body); err != nil {
		return Entry{}, trace.Wrap(err, "step table.apply")
	}
	var err error
	mayHaveTakenEffect := false
	delay := firstDelay
	for range maxAttempts {
		var result attempt
		result, err = s.tryApply(ctx, req)
		switch {
		case err == nil:
			return result.entry, nil
		case result.final:
			return Entry{}, err
		case result.unknown:
			mayHaveTakenEffect = true
		case !mayHaveTakenEffect && !errors.Is(err, platform.ErrPrecondition):
			return Entry{}, err
		}
		if !retry.Sleep(ctx, delay) {
			break
		}
		delay = min(2*delay, maxDelay)
	}
	if mayHaveTakenEffect {
		return Entry{}, &OutcomeUnknownError{ApplyID: req.ApplyID, Err: err}
	}
	return Entry{}, err
}

// Rollback restores the text of an older version as a new version. Its errors are
// those of Version and Apply.
func (s *Store) Rollback(ctx context.Context, req RollbackRequest) (Entry, error) {
	doc, err := s.Version(ctx, req.To)
	if err != nil {
		return Entry{}, err
	}
	return s.Apply(ctx, ApplyRequest{
		Base:       req.Base,
		ApplyID:    req.ApplyID,
		Author:     req.Author,
		Format:     doc.Format,
		Body:       doc.Body,
		rollbackOf: req.To,
	})
}

// attempt is the result of one attempt to apply an edit.
type attempt struct {
	entry Entry
	// final is set if the error must not be retried.
	final bool
	// unknown is set if the write may or may not have taken effect.
	unknown bool
}

// tryApply makes one attempt. Each of its reads may be stale, so it relies only on
// the preconditions of the write and on immutable records.
func (s *Store) tryApply(ctx context.Context, req ApplyRequest) (attempt, error) {
	h, err := s.readHead(ctx)
	if err != nil {
		return attempt{}, err
	}
	entry, found, err := s.findApplied(ctx, req)
	if found {
		return attempt{entry: entry}, nil
	}
	if err != nil {
		var reused *ApplyIDReusedError
		return attempt{final: errors.As(err, &reused)}, err
	}
	if h.Version != req.Base {
		return s.resolveStaleBase(ctx, req, h.Entry)
	}
	entry, err = s.commit(ctx, req, h)
	if err == nil {
		return attempt{entry: entry}, nil
	}
	notWritten := errors.Is(err, platform.ErrPrecondition) || errors.Is(err, platform.ErrUnavailable)
	return attempt{unknown: !notWritten}, err
}

// findApplied looks for the version that an earlier attempt of the same apply created.
func (s *Store) findApplied(ctx context.Context, req ApplyRequest) (Entry, bool, error) {
	record, err := s.service.Get(ctx, applyKey(req.ApplyID))
	if errors.Is(err, platform.ErrNotFound) {
		return Entry{}, false, nil
	}
	if err != nil {
		return Entry{}, false, trace.Wrap(err, "step table.apply, peer table service")
	}
	var applied appliedRecord
	if err := json.Unmarshal(record.Value, &applied); err != nil {
		return Entry{}, false, trace.Wrap(err, "step table.apply, peer table service")
	}
	if applied.Digest != digest(req.Body) {
		return Entry{}, false, &ApplyIDReusedError{ApplyID: req.ApplyID, Version: applied.Version}
	}
	doc, err := s.Version(ctx, applied.Version)
	if err != nil {
		return Entry{}, false, err
	}
	return doc.Entry, true, nil
}

// resolveStaleBase handles a Base that is not the current version. This apply can
// only have created version Base+1, whose record is immutable: the record shows
// whether an earlier attempt took effect or no attempt ever can.
func (s *Store) resolveStaleBase(ctx context.Context, req ApplyRequest, current Entry) (attempt, error) {
	if current.Version < req.Base {
		return attempt{}, trace.BadParameter("step table.apply: made from version %d, the current one is %d",
			req.Base, current.Version)
	}
	next, err := s.Version(ctx, req.Base+1)
	if err != nil {
		return attempt{}, err
	}
	if next.ApplyID == req.ApplyID && next.Digest == digest(req.Body) {
		return attempt{entry: next.Entry}, nil
	}
	return attempt{final: true}, s.conflict(ctx, req, current)
}

// commit writes the next version in one transaction.
func (s *Store) commit(ctx context.Context, req ApplyRequest, h head) (Entry, error) {
	entry := Entry{
		Version:    h.Version + 1,
		Base:       req.Base,
		ApplyID:    req.ApplyID,
		Digest:     digest(req.Body),
		Author:     req.Author,
		AcceptedAt: time.Now().UTC(),
		RollbackOf: req.rollbackOf,
	}
	current, err := json.Marshal(entry)
	if err != nil {
		return Entry{}, trace.Wrap(err, "step table.apply")
	}
	document, err := json.Marshal(Document{Entry: entry, Format: req.Format, Body: req.Body})
	if err != nil {
		return Entry{}, trace.Wrap(err, "step table.apply")
	}
	applied, err := json.Marshal(appliedRecord{Version: entry.Version, Digest: entry.Digest})
	if err != nil {
		return Entry{}, trace.Wrap(err, "step table.apply")
	}
	_, err = s.service.Commit(ctx, []platform.Write{
		{Key: keyCurrent, Value: current, If: h.etag},
		{Key: versionKey(entry.Version), Value: document},
		{Key: applyKey(req.ApplyID), Value: applied},
	})
	if err != nil {
		return Entry{}, trace.Wrap(err, "step table.apply, peer table service")
	}
	return entry, nil
}

// conflict compares the rejected edit with the current version.
func (s *Store) conflict(ctx context.Context, req ApplyRequest, current Entry) error {
	e := &ConflictError{Base: req.Base, Current: current}
	base, err := s.rows(ctx, req.Base)
	if err != nil {
		e.CompareErr = err
		return e
	}
	theirs, err := s.rows(ctx, current.Version)
	if err != nil {
		e.CompareErr = err
		return e
	}
	mine, err := table.Parse(req.Format, req.Body)
	if err != nil {
		e.CompareErr = err
		return e
	}
	merge, err := table.Merge3(base, mine, theirs)
	if err != nil {
		e.CompareErr = err
		return e
	}
	e.Mine = table.Diff(base, mine)
	e.Theirs = table.Diff(base, theirs)
	e.Merge = merge
	return e
}

// rows reads the rows of a version. Version 0 has no rows.
func (s *Store) rows(ctx context.Context, version uint64) ([]table.Row, error) {
	if version == 0 {
		return nil, nil
	}
	doc, err := s.Version(ctx, version)
	if err != nil {
		return nil, err
	}
	return table.Parse(doc.Format, doc.Body)
}
