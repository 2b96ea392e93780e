package weights

import (
	"context"
	"time"

	"mulberryscale.example/api"
	"mulberryscale.example/platform"
	"mulberryscale.example/wire"
)

// pieceBytes is the size of the messages that a part is sent in.
const pieceBytes = 256 << 10

// Availability says how an agent stands to a version that a peer asks for.
type Availability uint8

// Standings.
const (
	// NotServed: the model is not served here.
	NotServed Availability = iota
	// Pending: the version is about to be fetched.
	Pending
	// Discarded: the version was fetched before, or given up, and is not held any more.
	Discarded
)

// ServeManifest answers a peer's question for a manifest, waiting for a
// version that is on its way.
func (r *Relay) ServeManifest(ctx context.Context, m *wire.PullManifest) (*platform.WeightManifest, *api.Refusal) {
	var manifest *platform.WeightManifest
	refusal := r.await(ctx, stepManifest, m.Model, m.Version, func(d *download) (bool, *api.Refusal) {
		manifest = d.manifest
		return manifest != nil, nil
	})
	return manifest, refusal
}

// ServePart sends a part in pieces, waiting for one that is on its way.
func (r *Relay) ServePart(ctx context.Context, p *wire.PullPart, send func(*wire.PartData) error) *api.Refusal {
	var found *part
	refusal := r.await(ctx, stepPart, p.Model, p.Version, func(d *download) (bool, *api.Refusal) {
		found = d.find(p.Name)
		switch {
		case found != nil || d.manifest == nil:
			return found != nil, nil
		case d.left[p.Name]:
			return false, r.refuse(api.CodeNoEndpoint, stepPart, "the part is not held any more")
		case !d.lists(p.Name):
			return false, r.refuse(api.CodeNoEndpoint, stepPart, "the manifest names no such part")
		}
		return false, nil
	})
	if refusal != nil {
		return refusal
	}
	if r.sendPieces(found.body, send) == nil {
		r.served(p.Model, p.Version, found)
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

// served counts a part that a peer has, which may make room for another.
func (r *Relay) served(model string, version uint64, p *part) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stats.ServedBytes += int64(len(p.body))
	p.served++
	if d := r.downloads[model]; d != nil && d.version == version {
		d.broadcast()
	}
}

// await waits until ready says so of the version's download, for at most
// ServeWait. A refusal with RetryAfter says that the answer is still on its way.
func (r *Relay) await(ctx context.Context, step, model string, version uint64, ready func(*download) (bool, *api.Refusal)) *api.Refusal {
	until := time.Now().Add(r.cfg.ServeWait)
	for {
		r.mu.Lock()
		d, changed := r.downloads[model], r.news
		if d != nil && d.version == version {
			done, refusal := ready(d)
			ended := d.ended
			changed = d.changed
			r.mu.Unlock()
			if done || refusal != nil {
				return refusal
			}
			if ended {
				return r.refuse(api.CodeNoEndpoint, step, "the version was given up here")
			}
		} else {
			r.mu.Unlock()
			if refusal := r.want(step, model, version, d); refusal != nil {
				return refusal
			}
		}
		if err := awaitChange(ctx, changed, time.Until(until)); err != nil || !time.Now().Before(until) {
			notYet := r.refuse(api.CodeNoEndpoint, step, "the weights are on their way here")
			notYet.RetryAfter = notYetPause
			return notYet
		}
	}
}

// want refuses a version that will not come here; nil says that it will.
func (r *Relay) want(step, model string, version uint64, d *download) *api.Refusal {
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
