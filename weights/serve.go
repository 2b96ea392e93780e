package weights

import (
	"context"
	"time"

	"mulberryscale.example/api"
	"mulberryscale.example/platform"
	"mulberryscale.example/wire"
)

// pieceBytes is the maximum size of the messages that a part is split into.
const pieceBytes = 256 << 10

// Availability is an agent's answer about a version that a peer asks for.
type Availability uint8

// Values of Availability.
const (
	// NotServed: the model is not served here.
	NotServed Availability = iota
	// Pending: the version is about to be fetched.
	Pending
	// Discarded: the version was fetched before, or given up, and is no longer in memory.
	Discarded
)

// ServeManifest returns the manifest that a peer asks for. It waits for up to
// ServeWait if the manifest is still being fetched.
func (r *Relay) ServeManifest(ctx context.Context, m *wire.PullManifest) (*platform.WeightManifest, *api.Refusal) {
	var manifest *platform.WeightManifest
	refusal := r.await(ctx, stepManifest, m.Model, m.Version, func(d *download) (bool, *api.Refusal) {
		manifest = d.manifest
		return manifest != nil, nil
	})
	return manifest, refusal
}

// ServePart sends a part in pieces. It waits for up to ServeWait if the part is
// still being fetched.
func (r *Relay) ServePart(ctx context.Context, p *wire.PullPart, send func(*wire.PartData) error) *api.Refusal {
	var found *part
	refusal := r.await(ctx, stepPart, p.Model, p.Version, func(d *download) (bool, *api.Refusal) {
		found = d.find(p.Name)
		switch {
		case found != nil || d.manifest == nil:
			return found != nil, nil
		case d.dropped[p.Name]:
			return false, r.refuse(api.CodeNoEndpoint, stepPart, "the part is not held any more")
		case !d.hasPart(p.Name):
			return false, r.refuse(api.CodeNoEndpoint, stepPart, "the manifest names no such part")
		}
		return false, nil
	})
	if refusal != nil {
		return refusal
	}
	if r.sendPieces(found.body, send) == nil {
		r.countServed(p.Model, p.Version, found)
	}
	return nil
}

func (r *Relay) sendPieces(body []byte, send func(*wire.PartData) error) error {
	for {
		n := min(len(body), pieceBytes)
		if err := send(&wire.PartData{Bytes: body[:n], Last: n == len(body)}); err != nil {
			return err
		}
		if body = body[n:]; len(body) == 0 {
			return nil
		}
	}
}

// countServed counts a part that a peer has fetched, and wakes reserve, which may now
// drop the part.
func (r *Relay) countServed(model string, version uint64, p *part) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stats.ServedBytes += int64(len(p.body))
	p.served++
	if d := r.downloads[model]; d != nil && d.version == version {
		d.broadcast()
	}
}

// await calls ready for the version's download at each change until ready returns
// true or a refusal, for at most ServeWait. A refusal with RetryAfter means that the
// manifest or part is still being fetched.
func (r *Relay) await(ctx context.Context, step, model string, version uint64, ready func(*download) (bool, *api.Refusal)) *api.Refusal {
	until := time.Now().Add(r.cfg.ServeWait)
	for {
		r.mu.Lock()
		d, changed := r.downloads[model], r.begun
		if d != nil && d.version == version {
			done, refusal := ready(d)
			finished := d.finished
			changed = d.changed
			r.mu.Unlock()
			if done || refusal != nil {
				return refusal
			}
			if finished {
				return r.refuse(api.CodeNoEndpoint, step, "the version was given up here")
			}
		} else {
			r.mu.Unlock()
			if refusal := r.checkAvailability(step, model, version, d); refusal != nil {
				return refusal
			}
		}
		if err := awaitChange(ctx, changed, time.Until(until)); err != nil || !time.Now().Before(until) {
			pending := r.refuse(api.CodeNoEndpoint, step, "the weights are on their way here")
			pending.RetryAfter = pendingRetryDelay
			return pending
		}
	}
}

// checkAvailability returns a refusal for a version that will not be fetched here,
// otherwise nil.
func (r *Relay) checkAvailability(step, model string, version uint64, d *download) *api.Refusal {
	if d != nil && d.version > version {
		return r.refuse(api.CodeStale, step, "a newer version is fetched here")
	}
	switch r.cfg.OnRequest(model, version) {
	case NotServed:
		return r.refuse(api.CodeBadRequest, step, "the model is not served here")
	case Discarded:
		return r.refuse(api.CodeNoEndpoint, step, "the version is not held any more")
	}
	return nil
}

func (r *Relay) refuse(code api.Code, step, message string) *api.Refusal {
	return &api.Refusal{Code: code, Message: message, NotRun: api.NotRunTrue, Step: step, Peer: r.cfg.Self.ID}
}
