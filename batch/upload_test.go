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

	"mulberryscale.example/internal/standin/rowstore"
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
