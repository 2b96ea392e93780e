package store

import "time"

// Pace limits the rate of the calls of a feed. A feed responds at the first change, so
// on a table with many writers it never waits: N writers and N readers cause N*N
// responses. A pause after each response batches the changes. Its length follows from
// the size of the last response and from the reader's byte budget for the table, so
// that changes of a quiet table arrive at once and those of a busy one within MaxPause.
//
// With 120 rows that change each 1.2 s and 248 readers, each reader called the feed of
// one table 18 times a second without pauses. With 6,000 bytes a second and a MaxPause
// of 1.3 s it calls 0.75 times a second.
type Pace struct {
	// BytesPerSecond is the budget for responses. MaxPause takes precedence over it. 0 is
	// no limit: only MinPause applies.
	BytesPerSecond int
	// MaxPause bounds the pause, and so the staleness of the reader.
	MaxPause time.Duration
	// MinPause is the shortest pause, for readers that tolerate stale data.
	MinPause time.Duration
	// Burst is the period of unused budget that may be saved for a burst of changes.
	// Without it, the second of two jobs that are accepted within milliseconds of each
	// other arrives only after the pause that the first one caused.
	Burst time.Duration
}

const (
	// callBytes is the size of a call without its rows: the headers of request and
	// response.
	callBytes = 350
	// rowBytes is the size of a row without its key and value: field names, the
	// version, and the encoding of three bytes as four, as counted for short rows.
	rowBytes = 100
)

// pacer computes the pauses of a Pace. It is not safe for concurrent use.
type pacer struct {
	Pace
	// credit is the unused budget, as the time in which it accrues. It is negative while
	// a pause is due.
	credit    time.Duration
	updatedAt time.Time // when credit was last updated
}

func newPacer(p Pace) *pacer { return &pacer{Pace: p, credit: p.Burst, updatedAt: time.Now()} }

// pause returns how long to wait after a response that has just arrived.
func (p *pacer) pause(s Snapshot) time.Duration {
	if p.BytesPerSecond <= 0 {
		return p.MinPause
	}
	now := time.Now()
	p.credit = min(p.Burst, p.credit+now.Sub(p.updatedAt))
	p.updatedAt = now
	p.credit -= time.Duration(float64(s.cost()) / float64(p.BytesPerSecond) * float64(time.Second))
	p.credit = max(p.credit, -p.MaxPause)
	return max(p.MinPause, -p.credit)
}

// cost estimates the size of a response in bytes.
func (s Snapshot) cost() int {
	n := callBytes
	for _, row := range s.Rows {
		n += rowBytes + len(row.Table) + len(row.Part) + len(row.Name) + len(row.Value)*4/3
	}
	return n
}
