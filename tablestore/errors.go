package tablestore

import (
	"errors"
	"fmt"

	"mulberryscale.example/table"
)

// ErrNoTable means that no table was applied yet.
var ErrNoTable = errors.New("tablestore: no table was applied yet")

// ErrNoVersion means that the version does not exist.
var ErrNoVersion = errors.New("tablestore: no such version")

// ConflictError means that another edit was applied first and nothing was written.
type ConflictError struct {
	// Base is the version from which the rejected edit was made.
	Base uint64
	// Current is the current version, which is newer than Base.
	Current Entry
	// Mine and Theirs are the changes of the rejected edit and of Current, from Base.
	Mine, Theirs []table.Change
	// Merge combines both edits; the operator has to check it.
	Merge table.Merge
	// CompareErr is set if the versions could not be compared. Mine, Theirs and
	// Merge are empty then.
	CompareErr error
}

// Error implements error.
func (e *ConflictError) Error() string {
	text := fmt.Sprintf("not applied: version %d by %q came first, this edit was made from version %d",
		e.Current.Version, e.Current.Author, e.Base)
	if e.CompareErr != nil {
		return fmt.Sprintf("%s; the versions could not be compared: %v", text, e.CompareErr)
	}
	return fmt.Sprintf("%s; %d changes here, %d there, %d in conflict",
		text, len(e.Mine), len(e.Theirs), len(e.Merge.Conflicts))
}

// OutcomeUnknownError means that an apply may or may not have taken effect. A
// retry with the same apply id is safe and resolves the outcome.
type OutcomeUnknownError struct {
	ApplyID string
	Err     error
}

// Error implements error.
func (e *OutcomeUnknownError) Error() string {
	return fmt.Sprintf("may or may not be applied; repeat with apply id %s: %v", e.ApplyID, e.Err)
}

// Unwrap returns the error of the last attempt.
func (e *OutcomeUnknownError) Unwrap() error { return e.Err }

// ApplyIDReusedError means that the apply id was used before for another text.
type ApplyIDReusedError struct {
	ApplyID string
	Version uint64
}

// Error implements error.
func (e *ApplyIDReusedError) Error() string {
	return fmt.Sprintf("apply id %s was used for another text, which became version %d", e.ApplyID, e.Version)
}
