package weights

import (
	"context"
	"time"

	"mulberryscale.example/platform"
)

// part is a verified part in the window.
type part struct {
	name   string
	body   []byte
	served int
	since  time.Time
}

// download is one version on its way through this process. The relay's lock
// guards it; changed is closed and replaced at each change.
type download struct {
	version  uint64
	manifest *platform.WeightManifest // nil until it is known
	place    Position
	// children is how many peers each part is kept for.
	children int
	window   []*part // the oldest first
	reserved int     // slots of the window for parts on their way
	left     map[string]bool
	ended    bool // whole or given up
	changed  chan struct{}
}

func newDownload(version uint64, place Position) *download {
	return &download{version: version, place: place, children: len(place.Children), left: make(map[string]bool), changed: make(chan struct{})}
}

func (d *download) broadcast() {
	close(d.changed)
	d.changed = make(chan struct{})
}

func (d *download) find(name string) *part {
	for _, p := range d.window {
		if p.name == name {
			return p
		}
	}
	return nil
}

// lists says whether the manifest names the part.
func (d *download) lists(name string) bool {
	for _, p := range d.manifest.Parts {
		if p.Name == name {
			return true
		}
	}
	return false
}

// makeRoom drops the oldest part if that leaves a free slot: once all children
// have it, or after hold. Children that did not come by then are no longer
// waited for. Without room it returns how long to wait at most.
func (d *download) makeRoom(now time.Time, slots int, hold time.Duration) (wait time.Duration, ok bool) {
	if len(d.window)+d.reserved < slots {
		return 0, true
	}
	if len(d.window) == 0 {
		return hold, false
	}
	oldest := d.window[0]
	if left := oldest.since.Add(hold).Sub(now); oldest.served < d.children && left > 0 {
		return left, false
	}
	d.children = min(d.children, oldest.served)
	d.window = d.window[1:]
	d.left[oldest.name] = true
	return 0, true
}

// reserve waits for a free slot of the window.
func (r *Relay) reserve(ctx context.Context, d *download) error {
	for {
		r.mu.Lock()
		wait, ok := d.makeRoom(time.Now(), r.cfg.Window, r.cfg.PartRetention)
		if ok {
			d.reserved++
			r.mu.Unlock()
			return nil
		}
		changed := d.changed
		r.mu.Unlock()
		if err := awaitChange(ctx, changed, wait); err != nil {
			return err
		}
	}
}

// put fills a reserved slot; a nil body gives it back.
func (r *Relay) put(d *download, name string, body []byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	d.reserved--
	if body != nil {
		d.window = append(d.window, &part{name: name, body: body, since: time.Now()})
		r.noteBuffered()
	}
	d.broadcast()
}

// awaitChange waits for a change, but no longer than wait; the error is the context's.
func awaitChange(ctx context.Context, changed <-chan struct{}, wait time.Duration) error {
	t := time.NewTimer(wait)
	defer t.Stop()
	select {
	case <-changed:
	case <-t.C:
	case <-ctx.Done():
		return context.Cause(ctx)
	}
	return nil
}
