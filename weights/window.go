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

// download is the fetch of one version by this process. The relay's lock
// guards it; changed is closed and replaced at each change.
type download struct {
	version  uint64
	manifest *platform.WeightManifest // nil until it is known
	position Position
	// children is the number of peers that each part is kept for.
	children int
	window   []*part // the oldest first
	reserved int     // slots of the window for parts being fetched
	dropped  map[string]bool
	finished bool // complete, failed or replaced by a newer version
	changed  chan struct{}
}

func newDownload(version uint64, position Position) *download {
	return &download{version: version, position: position, children: len(position.Children), dropped: make(map[string]bool), changed: make(chan struct{})}
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

// hasPart reports whether the manifest lists the part.
func (d *download) hasPart(name string) bool {
	for _, p := range d.manifest.Parts {
		if p.Name == name {
			return true
		}
	}
	return false
}

// makeRoom reports whether the window has a free slot. If it has none, makeRoom
// drops the oldest part when all children have fetched it or the retention time is
// over. It then no longer waits for the children that did not fetch it. Without a
// free slot it returns the maximum time to wait.
func (d *download) makeRoom(now time.Time, slots int, retention time.Duration) (wait time.Duration, ok bool) {
	if len(d.window)+d.reserved < slots {
		return 0, true
	}
	if len(d.window) == 0 {
		return retention, false
	}
	oldest := d.window[0]
	if remaining := oldest.since.Add(retention).Sub(now); oldest.served < d.children && remaining > 0 {
		return remaining, false
	}
	d.children = min(d.children, oldest.served)
	d.window = d.window[1:]
	d.dropped[oldest.name] = true
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

// put stores a part in a reserved slot; a nil body frees the slot.
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

// awaitChange waits for a change for at most wait. The error is that of ctx.
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
