package pace

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"mulberryscale.example/internal/standin/rowstore"
	"mulberryscale.example/observe"
	"mulberryscale.example/store"
)

const testEngine = "10.0.0.1:80"

// TestUnusableRowsCountAsUnknown guards against work that is assigned by the pace of a former
// engine, an old one, one from a wrong clock or a row of another writer.
func TestUnusableRowsCountAsUnknown(t *testing.T) {
	const now, started = time.Hour, 1000
	encode := func(r Row) []byte {
		value, err := r.Encode()
		if err != nil {
			t.Fatal(err)
		}
		return value
	}
	good := Row{Pace: 170, Spread: 9, At: now - time.Second, StartedAt: started}
	change := func(f func(*Row)) []byte { r := good; f(&r); return encode(r) }
	for name, c := range map[string]struct {
		row    store.Row
		agents int
		want   int
	}{
		"usable":            {store.Row{Key: Key(testEngine), Value: encode(good)}, 44, 170},
		"start not stated":  {store.Row{Key: Key(testEngine), Value: change(func(r *Row) { r.StartedAt = 0 })}, 44, 170},
		"stale":             {store.Row{Key: Key(testEngine), Value: change(func(r *Row) { r.At = now - 91*time.Second })}, 44, 0},
		"not yet stale":     {store.Row{Key: Key(testEngine), Value: change(func(r *Row) { r.At = now - 89*time.Second })}, 44, 170},
		"many agents":       {store.Row{Key: Key(testEngine), Value: change(func(r *Row) { r.At = now - 10*time.Minute })}, 10_000, 170},
		"from the future":   {store.Row{Key: Key(testEngine), Value: change(func(r *Row) { r.At = now + time.Minute })}, 44, 0},
		"former start":      {store.Row{Key: Key(testEngine), Value: change(func(r *Row) { r.StartedAt = 900 })}, 44, 0},
		"pace 0":            {store.Row{Key: Key(testEngine), Value: change(func(r *Row) { r.Pace = 0 })}, 44, 0},
		"pace too large":    {store.Row{Key: Key(testEngine), Value: change(func(r *Row) { r.Pace = maxPace + 1 })}, 44, 0},
		"unreadable":        {store.Row{Key: Key(testEngine), Value: []byte("{}")}, 44, 0},
		"another part":      {store.Row{Key: store.Key{Table: TablePaces, Part: "zone", Name: testEngine}, Value: encode(good)}, 44, 0},
		"of another engine": {store.Row{Key: Key("10.0.0.2:80"), Value: encode(good)}, 44, 0},
		"deleted":           {store.Row{Key: Key(testEngine), Deleted: true}, 44, 0},
	} {
		t.Run(name, func(t *testing.T) {
			table := NewTable(observe.Discard())
			table.Replace(store.Snapshot{Rows: []store.Row{c.row}})
			if got := table.Pace(testEngine, started, now, c.agents); got != c.want {
				t.Errorf("got %d, want %d", got, c.want)
			}
		})
	}
}

// testReading is a reading that a test changes while a writer runs.
type testReading struct {
	mu      sync.Mutex
	reading Reading
}

func (r *testReading) change(f func(*Reading)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f(&r.reading)
}

func (r *testReading) read() (reading Reading) {
	r.change(func(now *Reading) { reading = *now })
	return reading
}

// newTestWriter returns a writer whose reading the test changes.
func newTestWriter(rows store.Rows, s *rowstore.Store, r *testReading) *Writer {
	return &Writer{
		Rows: rows, Engine: testEngine, Read: r.read, Agents: func() int { return 44 },
		Now: s.Now, Log: observe.Discard(), Counters: observe.NewCounters(),
	}
}

// TestWriterWritesChangesOnly counts the writes of an agent. An engine that reports no pace must
// cost no call, and one whose pace varies little only the refresh while it is busy.
func TestWriterWritesChangesOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := rowstore.New()
		r := &testReading{}
		go newTestWriter(s, s, r).Run(t.Context())
		expect := func(what string, wait time.Duration, commits, pace int) {
			t.Helper()
			time.Sleep(wait)
			if s.Commits() != commits {
				t.Fatalf("%s: %d commits, want %d", what, s.Commits(), commits)
			}
			if commits == 0 {
				return
			}
			if row, err := DecodeRow(s.Rows(TablePaces)[0].Value); err != nil || row.Pace != pace {
				t.Fatalf("%s: row %+v, %v", what, row, err)
			}
		}
		expect("no pace reported", time.Minute, 0, 0)
		r.change(func(now *Reading) { now.Pace = 100 })
		expect("first report", 5*time.Second, 1, 100)
		r.change(func(now *Reading) { now.Pace = 125 })
		expect("changed by a quarter", 2*time.Minute, 1, 100)
		r.change(func(now *Reading) { now.Busy = true })
		expect("busy", time.Second, 2, 125)
		expect("busy for a minute", time.Minute, 4, 125)
		r.change(func(now *Reading) { now.Pace = 300 })
		expect("slow", 5*time.Second, 5, 300)
		r.change(func(now *Reading) { now.StartedAt = 7 })
		expect("restarted", 5*time.Second, 6, 300)
	})
}

// TestAllAgentsTogetherStayWithinTheRate lets the paces of all engines change all the time.
func TestAllAgentsTogetherStayWithinTheRate(t *testing.T) {
	for _, agents := range []int{1, 44, 1000, 10_000} {
		var s schedule
		now, writes := time.Unix(0, 0), 0
		const length = time.Hour
		for at := time.Duration(0); at < length; at += checkInterval {
			r := Reading{Pace: 100 + 300*int(at/checkInterval%2), Busy: true}
			if s.due(r, now.Add(at), agents) {
				writes++
				s.triedAt, s.writtenAt, s.written = now.Add(at), now.Add(at), Row{Pace: r.Pace}
			}
		}
		if rate := float64((writes-1)*agents) / length.Seconds(); rate > rowsPerSecond {
			t.Errorf("%d agents write %.1f rows a second", agents, rate)
		}
	}
}

// TestWritesResumeAfterAnOutage has the store refuse writes: the agent must neither call it more
// often nor lose the newest pace, and readers keep the last rows.
func TestWritesResumeAfterAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := rowstore.New()
		client := s.Client()
		r := &testReading{reading: Reading{Pace: 70}}
		go newTestWriter(client, s, r).Run(t.Context())
		table := NewTable(observe.Discard())
		go store.Follow(t.Context(), client, store.Source{Table: TablePaces}, table)
		time.Sleep(10 * time.Second)
		client.SetError(errors.New("store away"))
		r.change(func(now *Reading) { now.Pace = 210 })
		time.Sleep(10 * time.Second)
		now, _ := s.Now()
		if got := table.Pace(testEngine, 0, now, 44); got != 70 {
			t.Errorf("pace %d during the outage, want the last one", got)
		}
		client.SetError(nil)
		time.Sleep(10 * time.Second)
		now, _ = s.Now()
		if got := table.Pace(testEngine, 0, now, 44); got != 210 {
			t.Errorf("pace %d after the outage", got)
		}
		if s.Commits() > 3 {
			t.Errorf("%d commits", s.Commits())
		}
	})
}

// TestRowSurvivesARestartOfTheAgent has an agent stop and another one start whose engine has not
// reported its pace yet.
func TestRowSurvivesARestartOfTheAgent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := rowstore.New()
		ctx, stop := context.WithCancel(t.Context())
		go newTestWriter(s, s, &testReading{reading: Reading{Pace: 170}}).Run(ctx)
		time.Sleep(5 * time.Second)
		stop()
		go newTestWriter(s, s, &testReading{}).Run(t.Context())
		time.Sleep(30 * time.Second)
		if rows := s.Rows(TablePaces); len(rows) != 1 || s.Commits() != 1 {
			t.Errorf("%d rows after %d commits", len(rows), s.Commits())
		}
	})
}
