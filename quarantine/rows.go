package quarantine

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"mulberryscale.example/fleet"
	"mulberryscale.example/store"
	"mulberryscale.example/transport/codec"
)

// Table holds a row for each end of an endpoint under a content,
// SUBJECT/end/BORN/ID, and one for each trial, SUBJECT/trial/NUMBER. A row is never
// changed, so a write that got no answer is repeated as it is.
const Table = "quarantine"

const (
	kindEnd   = "end"
	kindTrial = "trial"
)

// mark is the value of a row.
type mark struct {
	// At is the moment by the store's clock, Ran how long the run had gone on that an
	// end broke off; 0 for a trial.
	At, Ran time.Duration
	// By names the process that wrote it.
	By string
}

// event is a row's meaning.
type event struct {
	subject Fingerprint
	// endpoint is the one that ended; it is empty for a trial.
	endpoint fleet.Incarnation
	// trial is its number; -1 for an end.
	trial int
	mark  mark
}

func endKey(s Fingerprint, of fleet.Incarnation) store.Key {
	return store.Key{Table: Table, Name: strings.Join([]string{string(s), kindEnd, strconv.FormatInt(of.Born, 10), of.ID}, "/")}
}

func trialKey(s Fingerprint, number int) store.Key {
	return store.Key{Table: Table, Name: strings.Join([]string{string(s), kindTrial, strconv.Itoa(number)}, "/")}
}

// decodeName reads a row's name.
func decodeName(name string) (event, error) {
	subject, rest, _ := strings.Cut(name, "/")
	kind, rest, _ := strings.Cut(rest, "/")
	e := event{subject: Fingerprint(subject), trial: -1}
	var err error
	switch kind {
	case kindTrial:
		e.trial, err = strconv.Atoi(rest)
		if err == nil && e.trial < 0 {
			err = strconv.ErrRange
		}
	case kindEnd:
		born, id, _ := strings.Cut(rest, "/")
		e.endpoint.ID = id
		e.endpoint.Born, err = strconv.ParseInt(born, 10, 64)
	default:
		err = fmt.Errorf("unknown kind %q", kind)
	}
	if err != nil {
		return event{}, fmt.Errorf("row %s of %s: %w", name, Table, err)
	}
	return e, nil
}

// decode reads a row that stands.
func decode(row store.Row) (event, error) {
	e, err := decodeName(row.Name)
	if err != nil {
		return event{}, err
	}
	if err := codec.Unmarshal(row.Value, &e.mark); err != nil {
		return event{}, fmt.Errorf("row %s of %s: %w", row.Name, Table, err)
	}
	return e, nil
}
