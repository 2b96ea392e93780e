// Package tablestore keeps the operators' table in the platform's table
// service: one record of what is current, one immutable record for each
// version and one for each apply, written together in one transaction. Two
// operators who race cannot both win, and an apply whose reply was lost is
// recognised and never takes effect twice.
package tablestore

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"time"

	"mulberryscale.example/wire"
)

// Keys of the records.
const (
	keyCurrent        = "table/current"
	keyVersionsPrefix = "table/versions/"
	keyAppliesPrefix  = "table/applies/"
)

// Entry is one accepted version without its text. The record table/current
// holds the newest.
type Entry struct {
	Version uint64 `json:"version"`
	// Base is the version from which the edit was made.
	Base uint64 `json:"base"`
	// ApplyID identifies the apply, so that a repeat is recognised.
	ApplyID string `json:"apply_id"`
	// Digest is the SHA-256 of the body, hexadecimal.
	Digest string `json:"digest"`
	Author string `json:"author"`
	// AcceptedAt is the time of the apply by the writer's clock.
	AcceptedAt time.Time `json:"accepted_at"`
	// RollbackOf is the version whose text this one repeats; 0 for an edit.
	RollbackOf uint64 `json:"rollback_of,omitempty"`
}

// Document is one accepted version with its text.
type Document struct {
	Entry
	Format string `json:"format"`
	Body   []byte `json:"body"`
}

// Wire is the document as our processes pass it on.
func (d *Document) Wire() wire.TableDocument {
	return wire.TableDocument{
		Version:    d.Version,
		Body:       d.Body,
		Format:     d.Format,
		AcceptedAt: d.AcceptedAt,
	}
}

// appliedRecord says which version an apply became.
type appliedRecord struct {
	Version uint64 `json:"version"`
	Digest  string `json:"digest"`
}

func versionKey(n uint64) string { return fmt.Sprintf("%s%020d", keyVersionsPrefix, n) }

func applyKey(id string) string { return keyAppliesPrefix + id }

func digest(body []byte) string {
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:])
}

// decodeDocument reads a version's record and checks it against its digest.
func decodeDocument(value []byte, version uint64) (Document, error) {
	var doc Document
	if err := json.Unmarshal(value, &doc); err != nil {
		return Document{}, err
	}
	if doc.Version != version {
		return Document{}, fmt.Errorf("the record of version %d holds version %d", version, doc.Version)
	}
	if digest(doc.Body) != doc.Digest {
		return Document{}, fmt.Errorf("the text of version %d does not match its digest", version)
	}
	return doc, nil
}
