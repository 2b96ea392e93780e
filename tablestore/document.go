// Package tablestore keeps the operators' table in the platform's table
// service: a record of the current version, an immutable record of each
// version and one of each apply, all written in one transaction. Of two
// concurrent applies only one succeeds, and applies are idempotent: one whose
// reply was lost is recognised when it is retried and takes effect only once.
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

// Entry is the metadata of an accepted version, without its text. The record
// table/current holds the newest Entry.
type Entry struct {
	Version uint64 `json:"version"`
	// Base is the version from which the edit was made.
	Base uint64 `json:"base"`
	// ApplyID is the idempotency key of the apply: a retry has the same one.
	ApplyID string `json:"apply_id"`
	// Digest is the SHA-256 of the body in hexadecimal.
	Digest string `json:"digest"`
	Author string `json:"author"`
	// AcceptedAt is the time of the apply by the writer's clock.
	AcceptedAt time.Time `json:"accepted_at"`
	// RollbackOf is the version that this one restores; 0 for an edit.
	RollbackOf uint64 `json:"rollback_of,omitempty"`
}

// Document is an accepted version with its text.
type Document struct {
	Entry
	Format string `json:"format"`
	Body   []byte `json:"body"`
}

// Wire converts the document to the form that is sent between our processes.
func (d *Document) Wire() wire.TableDocument {
	return wire.TableDocument{
		Version:    d.Version,
		Body:       d.Body,
		Format:     d.Format,
		AcceptedAt: d.AcceptedAt,
	}
}

// appliedRecord maps an apply to the version that it created.
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

// decodeDocument decodes the record of a version and checks its number and digest.
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
