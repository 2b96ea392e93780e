package tablestore

import (
	"errors"
	"fmt"

	"mulberryscale.example/table"
)

// ErrNoTable says that no table was ever applied.
var ErrNoTable = errors.New("tablestore: no table was applied yet")

// ErrNoVersion says that there is no such version.
var ErrNoVersion = errors.New("tablestore: no such version")

// ConflictError says that another edit came first: nothing was written.
type ConflictError struct {
	// Base is the version from which the refused edit was made.
	Base uint64
	// Current is the version that came first.
	Current Entry
	// Mine and Theirs are both edits, against Base.
	Mine, Theirs []table.Change
	// Merge joins both edits; it is to be checked by the operator.
	Merge table.Merge
	// CompareErr is set, and the fields from Mine on are empty, when the two
	// versions could not be read for the comparison.
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

// OutcomeUnknownError says that an apply may or may not have taken effect.
// Repeating it with the same apply id is safe and tells.
type OutcomeUnknownError struct {
	ApplyID string
	Err     error
}

// Error implements error.
func (e *OutcomeUnknownError) Error() string {
	return fmt.Sprintf("may or may not be applied; repeat with apply id %s: %v", e.ApplyID, e.Err)
}

// Unwrap gives the last error met.
func (e *OutcomeUnknownError) Unwrap() error { return e.Err }

// ApplyIDReusedError says that an apply id was used before for another text.
type ApplyIDReusedError struct {
	ApplyID string
	Version uint64
}

// Error implements error.
func (e *ApplyIDReusedError) Error() string {
	return fmt.Sprintf("apply id %s was used for another text, which became version %d", e.ApplyID, e.Version)
}
