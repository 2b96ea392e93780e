package node

import (
	"context"
	"errors"
	"fmt"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	logtest "github.com/sirupsen/logrus/hooks/test"

	"mulberryscale.example/fleet"
	"mulberryscale.example/internal/standin/rowstore"
	"mulberryscale.example/observe"
	"mulberryscale.example/platform/duties"
	"mulberryscale.example/platform/metastore"
	"mulberryscale.example/platform/nodefile"
	"mulberryscale.example/platform/operator"
	"mulberryscale.example/store"
)

func instanceRow(id string) store.Row {
	return rowOf(id, `{"Service":"s","Address":"10.0.0.1:80","Zone":"z","Version":"v1","Slots":4,"State":"ready","ColdLeftMs":0,"Sequence":1}`)
}

func rowOf(id, value string) store.Row {
	return store.Row{Key: operator.InstanceKey(id), Value: []byte(value)}
}

// listRig follows the instance list of a fake store.
type listRig struct {
	t      *testing.T
	store  *rowstore.Store
	client *rowstore.Client
	view   *fleet.View
}

func newListRig(t *testing.T) *listRig {
	s := rowstore.New()
	r := &listRig{t: t, store: s, client: s.Client(), view: fleet.NewView()}
	w := newInstanceWatcher(r.view, observe.Discard())
	go store.Follow(t.Context(), r.client, store.Source{Table: operator.TableInstances}, w)
	r.put("a")
	r.put("b")
	time.Sleep(time.Second)
	return r
}

func (r *listRig) put(id string) {
	if _, err := r.store.Commit(r.t.Context(), store.Tx{Put: []store.Row{instanceRow(id)}}); err != nil {
		r.t.Fatal(err)
	}
}

func (r *listRig) remove(id string) {
	if _, err := r.store.Commit(r.t.Context(), store.Tx{Delete: []store.Key{instanceRow(id).Key}}); err != nil {
		r.t.Fatal(err)
	}
}

func (r *listRig) known(id string) bool {
	_, ok := r.view.Snapshot().Instances[id]
	return ok
}

func TestLeavingInstanceIsRemovedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newListRig(t)
		r.remove("a")
		time.Sleep(100 * time.Millisecond)
		if r.known("a") || !r.known("b") {
			t.Fatalf("got %v", r.view.Snapshot().Instances)
		}
	})
}

// TestOddEntryHidesNoOther guards against an entry of another writer that ends the process, or ends the reading of the list,
// so that the entries beside it and after it are not read.
func TestOddEntryHidesNoOther(t *testing.T) {
	odd := func(old, new string) string { return strings.Replace(string(instanceRow("odd").Value), old, new, 1) }
	for name, value := range map[string]string{
		"deeply nested":       odd(`{`, `{"Rack":`+strings.Repeat("[", 20000)+strings.Repeat("]", 20000)+`,`),
		"deep in a field":     odd(`"s"`, strings.Repeat(`{"a":`, 9000)+"1"+strings.Repeat("}", 9000)),
		"not closed":          strings.Repeat(`[`, 60000),
		"number out of range": odd(`"Slots":4`, `"Slots":1e999`),
		"500 digits":          odd(`"Sequence":1`, `"Sequence":`+strings.Repeat("9", 500)),
		"too many slots":      odd(`"Slots":4`, `"Slots":9007199254740991`),
		"port 0":              odd(`:80"`, `:0"`),
		"port 70000":          odd(`:80"`, `:70000"`),
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newListRig(t)
				if _, err := r.store.Commit(t.Context(), store.Tx{Put: []store.Row{rowOf("odd", value), instanceRow("beside")}}); err != nil {
					t.Fatal(err)
				}
				time.Sleep(time.Second)
				r.put("after")
				r.remove("b")
				time.Sleep(time.Second)
				if r.known("odd") || r.known("b") || !r.known("a") || !r.known("beside") || !r.known("after") {
					t.Errorf("got %v", r.view.Snapshot().Instances)
				}
			})
		})
	}
}

// TestEntriesThatExpireDuringStoreOutage checks that instances whose entries expired during an
// outage of the store are kept for returnGrace after it.
func TestEntriesThatExpireDuringStoreOutage(t *testing.T) {
	for name, returns := range map[string]bool{"back in time": true, "gone": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newListRig(t)
				r.client.SetError(store.ErrRefused)
				r.remove("a")
				time.Sleep(5 * time.Second)
				r.client.SetError(nil)
				time.Sleep(1500 * time.Millisecond)
				if !r.known("a") {
					t.Fatal("removed before the end of returnGrace")
				}
				if returns {
					r.put("a")
				}
				time.Sleep(3 * time.Second)
				if r.known("a") != returns {
					t.Fatalf("known: %v", r.known("a"))
				}
			})
		})
	}
}

func TestUnreadableRowsChangeNothing(t *testing.T) {
	view := fleet.NewView()
	w := &configWatcher{view: view, log: observe.Discard()}
	row := func(name, value string) store.Row {
		return store.Row{Key: store.Key{Table: operator.TableOperator, Name: name}, Value: []byte(value)}
	}
	w.Replace(store.Snapshot{Rows: []store.Row{row("config", `{"Version":3}`), row("version/m", `{"Model":"m","Version":2}`)}})
	w.Apply(store.Snapshot{Rows: []store.Row{row("config", `{"Version":`), row("version/m", `[]`), row("other", "x")}})
	w.Apply(store.Snapshot{Rows: []store.Row{row("config", `{"Version":2}`), {Key: store.Key{Name: "config"}, Deleted: true}}})
	if s := view.Snapshot(); s.Config.Version != 3 || s.NamedVersions["m"] != 2 {
		t.Fatalf("version %d, named %v", s.Config.Version, s.NamedVersions)
	}
}

func TestOneAuthorityForAllProcesses(t *testing.T) {
	rows := rowstore.New()
	first, err := loadAuthority(t.Context(), rows)
	if err != nil {
		t.Fatal(err)
	}
	second, err := loadAuthority(t.Context(), rows)
	if err != nil || string(first.CertPEM()) != string(second.CertPEM()) {
		t.Fatalf("two authorities, or %v", err)
	}
}

// TestAuthorityWithUnconfirmedWriteIsNotUsed checks that a process does not use the authority
// that it created if the store did not answer its write, since the store may hold another
// one.
func TestAuthorityWithUnconfirmedWriteIsNotUsed(t *testing.T) {
	rows := rowstore.New()
	rows.QueueOutcomes(rowstore.RequestLost)
	if _, err := loadAuthority(t.Context(), rows); !errors.Is(err, store.ErrUnknown) {
		t.Fatalf("got %v", err)
	}
	if _, err := loadAuthority(t.Context(), rows); err != nil {
		t.Fatal(err)
	}
}

func TestReload(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		old := nodefile.Settings{Node: "n", Store: "10.0.0.1:1"}
		b := &base{settings: &old, log: logrus.NewEntry(observe.Discard()), store: metastore.New(old.Store), duties: duties.New(old.Duties)}
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		hangups := make(chan os.Signal, 1)
		var loads atomic.Int32
		go b.Reload(ctx, hangups, func() (*nodefile.Settings, error) {
			if loads.Add(1) == 1 {
				return nil, fmt.Errorf("not readable")
			}
			next := old
			next.Store = "10.0.0.2:1"
			return &next, nil
		})
		hangups <- os.Interrupt
		synctest.Wait()
		if loads.Load() != 1 || b.store.Addr() != "10.0.0.1:1" {
			t.Fatalf("%d loads, store at %s", loads.Load(), b.store.Addr())
		}
		time.Sleep(rereadInterval + time.Millisecond) // without a signal
		if loads.Load() != 2 || b.store.Addr() != "10.0.0.2:1" {
			t.Fatalf("%d loads, store at %s", loads.Load(), b.store.Addr())
		}
	})
}

// startedRow returns a valid entry of an instance with a start time.
func startedRow(id string, born int64) store.Row {
	return rowOf(id, strings.Replace(string(instanceRow(id).Value), "}", fmt.Sprintf(`,"born":%d}`, born), 1))
}

func (r *listRig) write(row store.Row) {
	r.t.Helper()
	if _, err := r.store.Commit(r.t.Context(), store.Tx{Put: []store.Row{row}}); err != nil {
		r.t.Fatal(err)
	}
	time.Sleep(100 * time.Millisecond)
}

// TestForeignEntryIsReplacedByNextHeartbeat checks that a row of another writer replaces
// a valid one only until the instance's next heartbeat, and affects no other instance.
func TestForeignEntryIsReplacedByNextHeartbeat(t *testing.T) {
	for name, value := range map[string]string{
		"not readable": "\xff", "no fields": `{}`, "unknown state": strings.Replace(string(instanceRow("a").Value), "ready", "odd", 1),
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newListRig(t)
				r.write(rowOf("a", value))
				if r.known("a") || !r.known("b") {
					t.Fatalf("known: a %v, b %v", r.known("a"), r.known("b"))
				}
				r.write(instanceRow("a"))
				if !r.known("a") {
					t.Fatal("the instance is unknown after a valid entry")
				}
			})
		})
	}
}

// TestEntryOfUnknownServiceDoesNotReplaceAnInstance checks that an entry of a service that the
// configuration does not name does not replace the instance at its address.
func TestEntryOfUnknownServiceDoesNotReplaceAnInstance(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newListRig(t)
		r.view.SetConfig(&fleet.Config{Version: 1, Services: []fleet.Service{{Name: "s"}}})
		r.remove("b")
		r.write(rowOf("foreign", strings.Replace(string(instanceRow("foreign").Value), `"s"`, `"unheard"`, 1)))
		if i, ok := r.view.Snapshot().AtAddr("10.0.0.1:80"); !ok || i.ID != "a" {
			t.Fatalf("instance at the address: %+v, %v", i, ok)
		}
	})
}

func TestEachChangeOfAForeignEntryIsLoggedOnce(t *testing.T) {
	log, hook := logtest.NewNullLogger()
	w := newInstanceWatcher(fleet.NewView(), log)
	bad, worse := rowOf("x", `{}`), rowOf("x", "\xff")
	for range 3 {
		w.Apply(store.Snapshot{Rows: []store.Row{bad}})
		w.Replace(store.Snapshot{Rows: []store.Row{bad}})
	}
	w.Apply(store.Snapshot{Rows: []store.Row{worse}})
	if n := len(hook.AllEntries()); n != 2 {
		t.Fatalf("%d log lines, want one for each of two changes", n)
	}
}

// TestNewestIncarnationOfAnInstanceCounts checks that the newest incarnation of an id
// counts, also when an entry of an older one is read later.
func TestNewestIncarnationOfAnInstanceCounts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newListRig(t)
		born := func() int64 { return r.view.Snapshot().Instances["a"].StartedAt }
		r.write(startedRow("a", 1000))
		r.write(startedRow("a", 2000))
		r.write(startedRow("a", 1000))
		if born() != 2000 {
			t.Fatalf("an older incarnation is in force: %d", born())
		}
		r.write(instanceRow("a"))
		if r.known("a") {
			t.Fatal("an entry without a start time was accepted")
		}
		r.write(startedRow("a", 1000))
		if r.known("a") {
			t.Fatal("an older incarnation was accepted after another writer's row")
		}
		r.write(startedRow("a", 2000))
		if born() != 2000 {
			t.Fatalf("born %d", born())
		}
	})
}

// TestHeartbeatsMakeNoNewSnapshot checks that a heartbeat, which changes only the sequence
// number, makes no new snapshot, while any other change, or a second instance that
// claims the address, makes one at once.
func TestHeartbeatsMakeNoNewSnapshot(t *testing.T) {
	view := fleet.NewView()
	w := newInstanceWatcher(view, observe.Discard())
	version := uint64(0)
	row := func(id, fields string) store.Row {
		version++
		r := rowOf(id, `{"Service":"s","Address":"10.0.0.1:80","Zone":"z","Version":"v1","Slots":4,"ColdLeftMs":0,`+fields+`}`)
		r.Version = version
		return r
	}
	w.Replace(store.Snapshot{Rows: []store.Row{row("a", `"State":"ready","Sequence":1`)}})
	before := view.Snapshot()
	for i := range 5 {
		w.Apply(store.Snapshot{Rows: []store.Row{row("a", fmt.Sprintf(`"State":"ready","Sequence":%d`, i+2))}})
	}
	if view.Snapshot() != before {
		t.Error("a heartbeat made a new snapshot")
	}
	w.Apply(store.Snapshot{Rows: []store.Row{row("b", `"State":"ready","Sequence":1`)}})
	if i, _ := view.Snapshot().AtAddr("10.0.0.1:80"); i.ID != "b" {
		t.Errorf("the instance at the address is %s, want the newer b", i.ID)
	}
	w.Apply(store.Snapshot{Rows: []store.Row{row("a", `"State":"ready","Sequence":9`)}})
	if i, _ := view.Snapshot().AtAddr("10.0.0.1:80"); i.ID != "a" {
		t.Errorf("the instance at the address is %s, want a, which has sent a heartbeat since", i.ID)
	}
	w.Apply(store.Snapshot{Rows: []store.Row{row("a", `"State":"draining","Sequence":10`)}})
	if !view.Snapshot().Instances["a"].Draining {
		t.Error("a drain did not change the snapshot")
	}
}

// TestLastRowOfACombinedAnswerCounts applies several rows of an id at once, as they come when
// an answer combines changes: the last row counts.
func TestLastRowOfACombinedAnswerCounts(t *testing.T) {
	const ready = `{"Service":"s","Address":"10.0.0.1:80","Zone":"z","Version":"v1","Slots":4,"State":"ready","ColdLeftMs":0,"Sequence":%d,"born":%d}`
	beat := func(sequence, born int) store.Row { return rowOf("a", fmt.Sprintf(ready, sequence, born)) }
	changed := rowOf("a", strings.Replace(fmt.Sprintf(ready, 2, 5), `"Slots":4`, `"Slots":5`, 1))
	removed := store.Row{Key: operator.InstanceKey("a"), Deleted: true}
	foreign := rowOf("a", `{"Service":7}`)
	for name, c := range map[string]struct {
		rows  []store.Row
		known bool
		born  int64
	}{
		"beat, then removed":                      {[]store.Row{beat(2, 5), removed}, false, 0},
		"a change, then removed":                  {[]store.Row{changed, removed}, false, 0},
		"removed, then registered":                {[]store.Row{removed, beat(2, 5)}, true, 5},
		"beat, then another writer's":             {[]store.Row{beat(2, 5), foreign}, false, 0},
		"another writer's, then beat":             {[]store.Row{foreign, beat(2, 5)}, true, 5},
		"started again, then the former one's":    {[]store.Row{beat(1, 9), beat(3, 5)}, true, 9},
		"removed, then the former one's last row": {[]store.Row{beat(1, 9), removed, beat(3, 5)}, false, 0},
	} {
		t.Run(name, func(t *testing.T) {
			view := fleet.NewView()
			w := newInstanceWatcher(view, observe.Discard())
			w.Replace(store.Snapshot{Rows: []store.Row{beat(1, 5)}})
			for i := range c.rows {
				c.rows[i].Version = uint64(i + 2)
			}
			w.Apply(store.Snapshot{Rows: c.rows})
			i, known := view.Snapshot().Instances["a"]
			if known != c.known || i.StartedAt != c.born {
				t.Errorf("known %v, born %d; want %v, %d", known, i.StartedAt, c.known, c.born)
			}
		})
	}
}
