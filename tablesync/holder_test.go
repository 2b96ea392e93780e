package tablesync

import (
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "mulberryscale.example/internal/rapidseed" // the same draws in each run
	"mulberryscale.example/table"
	"mulberryscale.example/wire"
)

// document returns a document whose only row is named after its version.
func document(version uint64) wire.TableDocument {
	return wire.TableDocument{
		Version:    version,
		Format:     table.FormatYAML,
		Body:       fmt.Appendf(nil, "rows: [{name: v%d, kind: plain}]", version),
		AcceptedAt: time.Unix(int64(version), 0),
	}
}

func TestHolderRefusesBadDocuments(t *testing.T) {
	h := NewHolder()
	if h.Current() != nil || h.Document() != nil || h.Version() != 0 {
		t.Fatal("a new holder has a version")
	}
	if _, err := h.Install(document(0)); err == nil {
		t.Fatal("version 0 was installed")
	}
	if ok, err := h.Install(document(3)); !ok || err != nil {
		t.Fatal(ok, err)
	}
	other := document(3)
	other.Body = document(4).Body
	var mismatch *BodyMismatchError
	if ok, err := h.Install(other); ok || !errors.As(err, &mismatch) {
		t.Fatal(ok, err)
	}
	broken := document(5)
	broken.Body = []byte("rows: []")
	var errs table.Errors
	if ok, err := h.Install(broken); ok || !errors.As(err, &errs) {
		t.Fatal(ok, err)
	}
	if row, ok := h.Current().Row("v3"); !ok || row.Kind != table.KindPlain {
		t.Fatal("version 3 is no longer in force")
	}
}

// TestHolderNeverReverts installs versions concurrently. The version in force must
// never decrease, and must be the newest one at the end.
func TestHolderNeverReverts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := NewHolder()
		versions := rapid.SliceOfN(rapid.Uint64Range(1, 20), 1, 40).Draw(t, "versions")
		var newest uint64
		var all sync.WaitGroup
		for _, v := range versions {
			newest = max(newest, v)
			all.Go(func() {
				before := h.Version()
				if _, err := h.Install(document(v)); err != nil {
					t.Errorf("version %d: %v", v, err)
				}
				if after := h.Version(); after < before || after < v {
					t.Errorf("version %d in force, was %d before the install of %d", after, before, v)
				}
			})
		}
		all.Wait()
		name := fmt.Sprintf("v%d", newest)
		if _, ok := h.Current().Row(name); !ok || h.Version() != newest || h.Document().Version != newest {
			t.Fatalf("version %d in force, want %d", h.Version(), newest)
		}
	})
}

func TestChangedIsClosedByTheNextInstall(t *testing.T) {
	h := NewHolder()
	changed := h.Changed()
	for _, v := range []uint64{2, 1, 2} {
		if _, err := h.Install(document(v)); err != nil {
			t.Fatal(err)
		}
	}
	<-changed
	select {
	case <-h.Changed():
		t.Fatal("the channel was closed without an install")
	default:
	}
}
