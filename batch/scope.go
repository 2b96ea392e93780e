package batch

import (
	"net/url"
	"strings"
)

// scopeSeparator separates an organisation from the id of one of its jobs.
const scopeSeparator = ":"

// maxJobID bounds a scoped id in bytes: it is part of the names of objects and of
// rows, which the store limits to 200.
const maxJobID = 180

// ScopedID returns the id under which a client's job is stored: its id, scoped to its
// organisation; the empty name means none. Scoped ids of two organisations never
// collide, so that a client does not find another organisation's jobs, and its ids
// remain free for the other organisation.
func ScopedID(organisation, id string) string {
	if organisation == "" && !strings.Contains(id, scopeSeparator) {
		return id
	}
	return url.QueryEscape(organisation) + scopeSeparator + id
}

// validJobID reports whether the store can hold a job with the scoped id.
func validJobID(scoped string) bool {
	return len(scoped) <= maxJobID && !strings.Contains(scoped, "/")
}

// ClientID returns the id that the client gave to the job with a scoped id.
func ClientID(scoped string) string {
	if _, id, ok := strings.Cut(scoped, scopeSeparator); ok {
		return id
	}
	return scoped
}

// scopedID returns the job's id in the store.
func (s *Submission) scopedID() string { return ScopedID(s.Organisation, s.ID) }
