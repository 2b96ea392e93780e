package batch

import (
	"net/url"
	"strings"
)

// scopeSeparator stands between an organisation and the id of one of its jobs.
const scopeSeparator = ":"

// maxJobID bounds a scoped id in bytes: it is part of the names of rows, which
// the store bounds at 200, and of objects.
const maxJobID = 180

// ScopedID is the id of a client's job within its organisation; the empty name is no
// organisation. Jobs of two organisations never have the same, so that whoever
// asks under one name finds nothing of another's, and takes no id from it.
func ScopedID(organisation, id string) string {
	if organisation == "" && !strings.Contains(id, scopeSeparator) {
		return id
	}
	return url.QueryEscape(organisation) + scopeSeparator + id
}

// validJobID reports whether a job of a scoped id can be in the store.
func validJobID(scoped string) bool {
	return len(scoped) <= maxJobID && !strings.Contains(scoped, "/")
}

// ClientID is the id by which a job's client knows it.
func ClientID(scoped string) string {
	if _, id, ok := strings.Cut(scoped, scopeSeparator); ok {
		return id
	}
	return scoped
}

// scopedID is the job's id in the store.
func (s *Submission) scopedID() string { return ScopedID(s.Organisation, s.ID) }
