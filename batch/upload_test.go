package batch

import (
	"context"
	"errors"
	"fmt"
	"reflect"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"mulberryscale.example/internal/pause"
	"mulberryscale.example/internal/standin/rowstore"
	"mulberryscale.example/observe"
	"mulberryscale.example/store"
)

// largeItems returns items that are too large for rows and have many headers, whose order an
// encoder could change.
func largeItems() []Item {
	items := someItems(40)
	for i := range items {
		items[i].Headers = map[string]string{}
		for h := range 20 {
			items[i].Headers[fmt.Sprintf("X-Header-%02d", h)] = strings.Repeat("v", 1000+h)
		}
	}
	return items
}

// requireItems fails unless the store holds a job with exactly these items.
func requireItems(t testing.TB, l *Ledger, id string, want []Item) {
	t.Helper()
	if err := checkItems(l, id, want); err != nil {
		t.Fatal(err)
	}
}

// checkItems returns an error unless the store holds a job with exactly these items.
func checkItems(l *Ledger, id string, want []Item) error {
	job, _, found, err := l.Job(context.Background(), id)
	if err != nil || !found {
		return fmt.Errorf("accepted job %s: found %v, %v", id, found, err)
	}
	got, err := l.Items(context.Background(), job)
	if err != nil {
		return fmt.Errorf("accepted job %s: %v", id, err)
	}
	if !reflect.DeepEqual(got, want) {
		return fmt.Errorf("accepted job %s: other items than those submitted", id)
	}
	return nil
}

// mortalStore stands for the store of a process that is killed before its n-th write.
type mortalStore struct {
	store.Store
	mu     sync.Mutex
	writes int
	kill   context.CancelFunc
}

var errKilled = errors.New("process killed")

// alive counts a write; it returns errKilled from the last one on.
func (s *mortalStore) alive() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.writes--; s.writes < 0 {
		s.kill()
		return errKilled
	}
	return nil
}

func (s *mortalStore) Commit(ctx context.Context, tx store.Tx) (store.Snapshot, error) {
	if err := s.alive(); err != nil {
		return store.Snapshot{}, err
	}
	return s.Store.Commit(ctx, tx)
}

func (s *mortalStore) PutObject(ctx context.Context, name string, body []byte) error {
	if err := s.alive(); err != nil {
		return err
	}
	return s.Store.PutObject(ctx, name, body)
}

// Guards against a job that is accepted with objects of two attempts, which cut its items into
// objects of different sizes or encoded them in another order, and that can't be read then.
func TestAcceptedJobHasObjectsOfOneEncoding(t *testing.T) {
	for name, sizes := range map[string][2]int{"other size": {256 << 10, 512 << 10}, "same size": {256 << 10, 256 << 10}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := rowstore.New()
				items := largeItems()
				const writes = 3 // of an attempt that stores some of its objects
				ctx, kill := context.WithCancel(t.Context())
				first := newLedger(&mortalStore{Store: s, writes: writes, kill: kill})
				first.ObjectBytes = sizes[0]
				if err := first.Submit(ctx, someJob("j", len(items)), items); !errors.Is(err, store.ErrRefused) {
					t.Fatalf("first attempt: got %v", err)
				}
				second := newLedger(s)
				second.ObjectBytes = sizes[1]
				must(t, second.Submit(t.Context(), someJob("j", len(items)), items))
				requireItems(t, second, "j", items)
			})
		})
	}
}

// Guards against items that run with what an object with other bytes holds: a mix is an error.
func TestChangedObjectIsNotDecoded(t *testing.T) {
	s := rowstore.New()
	l := newLedger(s)
	l.ObjectBytes = 256 << 10
	items := largeItems()
	job := someJob("j", len(items))
	must(t, l.Submit(t.Context(), job, items))
	body, err := s.GetObject(t.Context(), job.Objects[0])
	must(t, err)
	changed := []byte(strings.Replace(string(body), "X-Header-07", "X-Header-70", 1))
	must(t, s.DeleteObject(t.Context(), job.Objects[0]))
	must(t, s.PutObject(t.Context(), job.Objects[0], changed))
	if _, err := l.Items(t.Context(), job); !errors.Is(err, errCorrupt) {
		t.Fatalf("got %v", err)
	}
}

// Guards against jobs of earlier versions, with numbered objects, that can't be read after an
// upgrade.
func TestJobOfEarlierVersionIsReadAndRemoved(t *testing.T) {
	s := rowstore.New()
	l := newLedger(s)
	must(t, s.PutObject(t.Context(), "items-j-000", []byte{0x81}))
	must(t, s.PutObject(t.Context(), "items-j-001", []byte{0xa1, 0x01, 0x61, 'a'}))
	job := &Job{ID: "j", Items: 1, Chunks: 2, InObjects: true}
	items, err := l.Items(t.Context(), job)
	if err != nil || len(items) != 1 || items[0].ID != "a" {
		t.Fatalf("got %v, %v", items, err)
	}
	must(t, l.Remove(t.Context(), job))
	requireNoObjects(t, s)
}

func requireNoObjects(t testing.TB, s *rowstore.Store) {
	t.Helper()
	if names, err := s.ListObjects(t.Context(), ""); err != nil || len(names) > 0 {
		t.Fatalf("objects left: %v, %v", names, err)
	}
}

// Guards against objects of jobs that were never accepted filling the store.
func TestObjectsOfRefusedJobAreRemoved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := rowstore.New()
		ctx, kill := context.WithCancel(t.Context())
		l := newLedger(&mortalStore{Store: s, writes: 2, kill: kill})
		l.ObjectBytes = 256 << 10
		items := largeItems()
		if err := l.Submit(ctx, someJob("j", len(items)), items); !errors.Is(err, store.ErrRefused) {
			t.Fatalf("got %v", err)
		}
		c := &Collector{Ledger: newLedger(s), Now: s.Now, Log: observe.Discard()}
		go c.Run(t.Context())
		time.Sleep(uploadTimeout)
		if names, _ := s.ListObjects(t.Context(), ""); len(names) != 1 {
			t.Fatalf("%d objects while the upload may go on, want 1", len(names))
		}
		time.Sleep(lateWriteTime + 5*uploadSweepInterval)
		requireNoObjects(t, s)
		if rows := s.Rows(tableUploads); len(rows) != 0 {
			t.Fatalf("rows left: %v", rows)
		}
		must(t, newLedger(s).Submit(t.Context(), someJob("j", len(items)), items)) // the id is free again
		requireItems(t, l, "j", items)
	})
}

// Guards against a process that was suspended while its upload was removed and that then accepts
// the job without its objects.
func TestAbandonedUploadCannotBeAccepted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := rowstore.New()
		l := newLedger(s)
		job := someJob("j", 40)
		id, err := l.joinUpload(t.Context(), job)
		must(t, err)
		time.Sleep(uploadTimeout + time.Second)
		must(t, l.removeAbandonedUploads(t.Context()))
		if err := l.acceptUploaded(t.Context(), job, id); !errors.Is(err, store.ErrRefused) {
			t.Fatalf("got %v", err)
		}
		if err := l.Submit(t.Context(), someJob("j", 40), largeItems()); !errors.Is(err, store.ErrRefused) {
			t.Fatalf("submitted while its upload is removed: got %v", err)
		}
	})
}

// submitPlan is one of several submissions of the same job.
type submitPlan struct {
	after, timeout time.Duration
	objectBytes    int
	writes         int // before the process is killed
}

// uploadScenario is a series of submissions of one job to a store that fails.
type uploadScenario struct {
	items    []Item
	outcomes []rowstore.Outcome
	delay    time.Duration // of each call to the store
	submits  []submitPlan
}

func drawUploadScenario(t *rapid.T) uploadScenario {
	sc := uploadScenario{delay: time.Duration(rapid.IntRange(0, 400).Draw(t, "delay")) * time.Millisecond}
	for i := range rapid.IntRange(1, 6).Draw(t, "items") {
		item := Item{ID: fmt.Sprintf("item-%d", i), Path: "/p", Headers: map[string]string{}}
		item.Body = []byte(strings.Repeat(fmt.Sprint(i), rapid.SampledFrom([]int{10, 50 << 10, 200 << 10, 300 << 10}).Draw(t, "body")))
		for h := range rapid.IntRange(1, 12).Draw(t, "headers") {
			item.Headers[fmt.Sprint("H", h)] = strings.Repeat("v", rapid.IntRange(0, 200).Draw(t, "value"))
		}
		sc.items = append(sc.items, item)
	}
	sc.outcomes = rapid.SliceOfN(rapid.SampledFrom([]rowstore.Outcome{
		rowstore.Done, rowstore.Done, rowstore.Refused, rowstore.ReplyLost, rowstore.RequestLost, rowstore.Late,
	}), 0, 30).Draw(t, "outcomes")
	seconds := rapid.SampledFrom([]int{0, 1, 2, 3, 5, 119, 121, 150, 200})
	for range rapid.IntRange(1, 5).Draw(t, "submissions") {
		sc.submits = append(sc.submits, submitPlan{
			after:       time.Duration(seconds.Draw(t, "after")) * time.Second,
			timeout:     time.Duration(rapid.IntRange(300, 6000).Draw(t, "timeout")) * time.Millisecond,
			objectBytes: rapid.SampledFrom([]int{100 << 10, 256 << 10, 1 << 20}).Draw(t, "object bytes"),
			writes:      rapid.SampledFrom([]int{1, 2, 3, 4, 6, 1000}).Draw(t, "writes"),
		})
	}
	return sc
}

// play runs a scenario, with sweeps of uploads all the time, and returns what was wrong.
func (sc uploadScenario) play(t *testing.T) error {
	s := rowstore.New()
	s.QueueOutcomes(sc.outcomes...)
	s.Slow(sc.delay)
	sweeping, stop := context.WithCancel(t.Context())
	go func() {
		for pause.Sleep(sweeping, 20*time.Second) == nil {
			_ = newLedger(s).removeAbandonedUploads(sweeping) // the next sweep goes on after an error
		}
	}()
	results := make([]error, len(sc.submits))
	var wg sync.WaitGroup
	for i, p := range sc.submits {
		wg.Go(func() {
			time.Sleep(p.after)
			ctx, cancel := context.WithTimeout(t.Context(), p.timeout)
			defer cancel()
			l := newLedger(&mortalStore{Store: s, writes: p.writes, kill: cancel})
			l.ObjectBytes = p.objectBytes
			job := someJob("j", len(sc.items))
			job.Accepted, _ = s.Now()
			results[i] = l.Submit(ctx, job, sc.items)
		})
	}
	wg.Wait()
	const sweepTime = 15 * time.Minute // a sweep for each outcome that is left
	time.Sleep(uploadTimeout + lateWriteTime + sweepTime)
	stop()
	synctest.Wait()
	s.Slow(0)
	return sc.judge(t, s, results)
}

// judge returns an error if an accepted job can't be read, a refused one exists, or objects stay.
func (sc uploadScenario) judge(t *testing.T, s *rowstore.Store, results []error) error {
	l := newLedger(s)
	accepted, refused := false, true
	for _, err := range results {
		accepted = accepted || err == nil
		refused = refused && errors.Is(err, store.ErrRefused) && !errors.Is(err, errKilled)
	}
	job, _, found, err := l.Job(t.Context(), "j")
	if err != nil {
		return err
	}
	if refused && found {
		return errors.New("a job that every attempt refused exists")
	}
	if accepted || found {
		if err := checkItems(l, "j", sc.items); err != nil {
			return err
		}
	}
	for found && l.Remove(t.Context(), job) != nil { // at most once for each outcome that is left
		time.Sleep(2 * rowstore.LateBy)
	}
	names, err := s.ListObjects(t.Context(), "")
	if err != nil || len(names)+len(s.Rows(tableUploads)) > 0 {
		return fmt.Errorf("%d objects and %d uploads stay, %v", len(names), len(s.Rows(tableUploads)), err)
	}
	return nil
}

// Guards against the loss of an accepted job of any size, whatever the store does to each write and
// wherever the processes are killed that submit it: after an acceptance each item is as submitted.
func TestAcceptedJobIsKeptWhole(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		sc := drawUploadScenario(rt)
		var err error
		synctest.Test(t, func(t *testing.T) { err = sc.play(t) })
		if err != nil {
			rt.Fatal(err)
		}
	})
}
