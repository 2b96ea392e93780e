package store

import "time"

// Pace spaces the calls of a feed. A feed answers at the first change, so on a
// table with many writers it never waits: with N processes that write and N that
// read, N*N answers are made. A pause after an answer gathers changes instead.
// The pause follows from what the last answer cost and what the reader may spend
// on the table, so a quiet table is heard at once and a busy one within MaxAge.
//
// With 120 rows that change each 1.2 s and 248 readers the feed of one table was
// asked 18 times a second by each reader; with a pace of 6,000 bytes a second
// and a MaxAge of 1.3 s it is asked 0.75 times.
type Pace struct {
	// BytesPerSecond is what answers may cost while that keeps the reader
	// abreast within MaxAge; 0 is no bound, so that no pause is made.
	BytesPerSecond int
	// MaxPause bounds the pause, and so the age of what is believed.
	MaxPause time.Duration
	// MinPause is the least pause, for readers that need no fresh news.
	MinPause time.Duration
	// Burst is how long the budget of quiet times is kept for a burst. Without it
	// the second of two jobs that are accepted within milliseconds of each other is
	// heard of only after the pause that the first one cost.
	Burst time.Duration
}

const (
	// callBytes is what a call costs beside its rows: headers of both ways.
	callBytes = 350
	// rowBytes is what a row costs beside its key and value: field names, the
	// version, and the encoding's four bytes for three, counted for short rows.
	rowBytes = 100
)

// pacer is a Pace at work. It is not safe for concurrent use.
type pacer struct {
	Pace
	// saved is the time for which the budget was not used, less the time that
	// answers since have used up; it is below zero while a pause is owed.
	saved time.Duration
	at    time.Time // when saved was reckoned
}

func newPacer(p Pace) *pacer { return &pacer{Pace: p, saved: p.Burst, at: time.Now()} }

// pause is how long to wait after an answer that came now.
func (p *pacer) pause(s Snapshot) time.Duration {
	if p.BytesPerSecond <= 0 {
		return p.MinPause
	}
	now := time.Now()
	p.saved = min(p.Burst, p.saved+now.Sub(p.at))
	p.at = now
	p.saved -= time.Duration(float64(s.cost()) / float64(p.BytesPerSecond) * float64(time.Second))
	p.saved = max(p.saved, -p.MaxPause)
	return max(p.MinPause, -p.saved)
}

// cost estimates an answer's bytes.
func (s Snapshot) cost() int {
	n := callBytes
	for _, row := range s.Rows {
		n += rowBytes + len(row.Table) + len(row.Part) + len(row.Name) + len(row.Value)*4/3
	}
	return n
}
