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

// Table holds a row for each crash of an endpoint while it ran a content,
// FINGERPRINT/end/STARTED/ID, and one for each trial, FINGERPRINT/trial/NUMBER. A row never changes,
// so a write without an answer is repeated as it is.
const Table = "quarantine"

const (
	kindCrash = "end"
	kindTrial = "trial"
)

// rowValue is the value of a row. Its field names are part of the encoding.
type rowValue struct {
	// At is the time of the event by the store's clock, Ran how long the run that the crash broke
	// off had lasted; 0 for a trial.
	At, Ran time.Duration
	// By is the name of the process that wrote the row.
	By string
}

// event is a decoded row.
type event struct {
	fingerprint Fingerprint
	// endpoint is the one that crashed; it is empty for a trial.
	endpoint fleet.Incarnation
	// trial is the number of the trial; -1 for a crash.
	trial int
	value rowValue
}

func crashKey(fp Fingerprint, endpoint fleet.Incarnation) store.Key {
	return store.Key{Table: Table, Name: strings.Join([]string{string(fp), kindCrash, strconv.FormatInt(endpoint.StartedAt, 10), endpoint.ID}, "/")}
}

func trialKey(fp Fingerprint, number int) store.Key {
	return store.Key{Table: Table, Name: strings.Join([]string{string(fp), kindTrial, strconv.Itoa(number)}, "/")}
}

// decodeName decodes the name of a row into an event without its value.
func decodeName(name string) (event, error) {
	fingerprint, rest, _ := strings.Cut(name, "/")
	kind, rest, _ := strings.Cut(rest, "/")
	e := event{fingerprint: Fingerprint(fingerprint), trial: -1}
	var err error
	switch kind {
	case kindTrial:
		e.trial, err = strconv.Atoi(rest)
		if err == nil && e.trial < 0 {
			err = strconv.ErrRange
		}
	case kindCrash:
		startedAt, id, _ := strings.Cut(rest, "/")
		e.endpoint.ID = id
		e.endpoint.StartedAt, err = strconv.ParseInt(startedAt, 10, 64)
	default:
		err = fmt.Errorf("unknown kind %q", kind)
	}
	if err != nil {
		return event{}, fmt.Errorf("row %s of %s: %w", name, Table, err)
	}
	return e, nil
}

// decode decodes a row that has not been deleted.
func decode(row store.Row) (event, error) {
	e, err := decodeName(row.Name)
	if err != nil {
		return event{}, err
	}
	if err := codec.Unmarshal(row.Value, &e.value); err != nil {
		return event{}, fmt.Errorf("row %s of %s: %w", row.Name, Table, err)
	}
	return e, nil
}
