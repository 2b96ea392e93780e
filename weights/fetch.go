package weights

import (
	"context"
	"errors"
	"fmt"
	"io"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/gravitational/trace"

	"mulberryscale.example/api"
	"mulberryscale.example/observe"
	"mulberryscale.example/platform"
	"mulberryscale.example/retry"
	"mulberryscale.example/wire"
)

// Steps named in errors and refusals.
const (
	stepManifest = "weights.manifest"
	stepPart     = "weights.part"
)

// maxReplans bounds how often one fetch looks for other sources because a source
// does not serve the model.
const maxReplans = 64

// pendingRetryDelay is the wait before calling a source again that is still waiting
// for the manifest or part itself.
const pendingRetryDelay = 20 * time.Millisecond

// errBadPart reports that a part did not match its manifest.
var errBadPart = errors.New("weights: the part does not match its manifest")

// source is a peer or the weight store, from which manifests and parts are fetched.
type source struct {
	peer  platform.Instance
	store bool
}

func (s source) name() string {
	if s.store {
		return "weight store"
	}
	return s.peer.ID
}

// fetch is the state of one call of Fetch. Its sources are in the order to try.
type fetch struct {
	r       *Relay
	d       *download
	model   string
	version uint64

	mu      sync.Mutex
	sources []source
	replans int
}

func (r *Relay) newFetch(d *download, model string, version uint64) *fetch {
	f := &fetch{r: r, d: d, model: model, version: version}
	f.sources = sourcesOf(d.position)
	return f
}

func sourcesOf(p Position) []source {
	var sources []source
	for _, peer := range p.Sources {
		sources = append(sources, source{peer: peer})
	}
	return append(sources, source{store: true})
}

func (f *fetch) order() []source {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.sources)
}

// demote moves a source that failed to the end of the list.
func (f *fetch) demote(s source) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if i := slices.Index(f.sources, s); i >= 0 {
		f.sources = append(slices.Delete(f.sources, i, i+1), s)
	}
}

// replan looks for other sources because one does not serve the model. It returns
// false if it has done so maxReplans times already.
func (f *fetch) replan(notServing source) bool {
	f.r.cfg.Peers.MarkNotServing(time.Now(), notServing.peer.ID, f.model)
	f.mu.Lock()
	defer f.mu.Unlock()
	if !slices.Contains(f.sources, notServing) {
		return true // another part's goroutine has replaced the sources
	}
	if f.replans++; f.replans > maxReplans {
		return false
	}
	f.sources = sourcesOf(f.r.Position(f.model, f.version))
	return true
}

// fromAny calls get with one source after another until one succeeds or ctx is
// done. After all sources have failed it waits for SourceRetry, or longer if the
// store asked for it.
func (f *fetch) fromAny(ctx context.Context, get func(context.Context, source) error) error {
	for {
		wait := f.r.cfg.SourceRetry
		for _, s := range f.order() {
			err := get(ctx, s)
			if err == nil {
				return nil
			}
			if ctx.Err() != nil {
				return context.Cause(ctx)
			}
			var limited *platform.RateLimitedError
			if errors.As(err, &limited) {
				wait = max(wait, limited.RetryAfter)
			}
			if f.noteFailure(s, err) {
				wait = 0 // try the new sources at once
				break
			}
		}
		if !retry.Sleep(ctx, f.r.rand.jitter(wait)) {
			return context.Cause(ctx)
		}
	}
}

// noteFailure counts and logs a source's failure and reports whether other sources
// replaced the current ones. Otherwise it demotes the source.
func (f *fetch) noteFailure(s source, err error) (replanned bool) {
	f.r.count(func(st *RelayStats) { st.SourceFailures++ })
	f.r.cfg.Log.WithError(err).WithField(observe.FieldPeer, s.name()).Debug("weights not fetched from a source")
	refusal := refusalOf(err)
	if refusal != nil && refusal.Code == api.CodeBadRequest && !s.store && f.replan(s) {
		return true
	}
	f.demote(s)
	return false
}

func refusalOf(err error) *api.Refusal {
	var refusal *api.Refusal
	if errors.As(err, &refusal) {
		return refusal
	}
	return nil
}

// manifest fetches and checks the manifest of the version.
func (f *fetch) manifest(ctx context.Context) (*platform.WeightManifest, error) {
	var manifest *platform.WeightManifest
	err := f.fromAny(ctx, func(ctx context.Context, s source) (err error) {
		if s.store {
			manifest, err = f.storeManifest(ctx)
			return err
		}
		req := wire.Request{PullManifest: &wire.PullManifest{Model: f.model, Version: f.version}}
		return f.callPeer(ctx, stepManifest, s, req, func(reply *wire.Reply) bool {
			manifest = reply.Manifest
			return true
		})
	})
	if err != nil {
		return nil, err
	}
	return manifest, f.check(manifest)
}

// check returns an error if the manifest is of another model or version, or has a
// part with a negative size or one over MaxPart.
func (f *fetch) check(m *platform.WeightManifest) error {
	if m == nil || m.Model != f.model || m.Version != f.version {
		return trace.BadParameter("the manifest is of another model or version")
	}
	for _, p := range m.Parts {
		if p.Size < 0 || p.Size > f.r.cfg.MaxPart {
			return trace.BadParameter("part %q: want a size of 0 to %d bytes, got %d", p.Name, f.r.cfg.MaxPart, p.Size)
		}
	}
	return nil
}

func (f *fetch) storeManifest(ctx context.Context) (*platform.WeightManifest, error) {
	ctx, cancel := context.WithTimeout(ctx, f.r.cfg.PullTimeout)
	defer cancel()
	f.r.count(func(st *RelayStats) { st.StoreCalls++ })
	m, err := f.r.cfg.Store.Manifest(ctx, f.model, f.version)
	return &m, err
}

// part fetches and verifies one part.
func (f *fetch) part(ctx context.Context, p platform.WeightPart) (body []byte, err error) {
	err = f.fromAny(ctx, func(ctx context.Context, s source) (err error) {
		if s.store {
			body, err = f.storePart(ctx, p)
		} else {
			body, err = f.peerPart(ctx, s, p)
		}
		if err != nil {
			return err
		}
		return f.verify(p, body, s)
	})
	if err != nil {
		return nil, trace.Wrap(err, "part %s", p.Name)
	}
	return body, nil
}

func (f *fetch) peerPart(ctx context.Context, s source, p platform.WeightPart) ([]byte, error) {
	body := make([]byte, 0, p.Size)
	req := wire.Request{PullPart: &wire.PullPart{Model: f.model, Version: f.version, Name: p.Name}}
	err := f.callPeer(ctx, stepPart, s, req, func(reply *wire.Reply) bool {
		if reply.Part == nil || int64(len(body)+len(reply.Part.Bytes)) > p.Size {
			body = nil // fails verify
			return true
		}
		body = append(body, reply.Part.Bytes...)
		return reply.Part.Last
	})
	return body, err
}

func (f *fetch) storePart(ctx context.Context, p platform.WeightPart) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, f.r.cfg.PullTimeout)
	defer cancel()
	f.r.count(func(st *RelayStats) { st.StoreCalls++ })
	reader, err := f.r.cfg.Store.Part(ctx, f.model, f.version, p.Name)
	if err != nil {
		return nil, err
	}
	defer reader.Close()
	body, err := io.ReadAll(io.LimitReader(reader, p.Size+1))
	f.r.count(func(st *RelayStats) { st.StoreBytes += int64(len(body)) })
	return body, err
}

// verify checks a part's size and hash and counts the part in the statistics.
func (f *fetch) verify(p platform.WeightPart, body []byte, s source) error {
	good := int64(len(body)) == p.Size && fmt.Sprintf("%016x", xxhash.Sum64(body)) == p.Hash
	f.r.count(func(st *RelayStats) {
		switch {
		case !good:
			st.BadParts++
		case s.store:
			st.StoreParts++
		default:
			st.PeerParts++
		}
	})
	if !good {
		return errBadPart
	}
	return nil
}

// callPeer calls a peer, and repeats the call for up to PendingTimeout while the
// peer answers that the manifest or part is not there yet.
func (f *fetch) callPeer(ctx context.Context, step string, s source, req wire.Request, take func(*wire.Reply) bool) error {
	until := time.Now().Add(f.r.cfg.PendingTimeout)
	for {
		err := f.r.caller.call(ctx, step, s.peer.Addr, req, take)
		refusal := refusalOf(err)
		if refusal == nil || refusal.RetryAfter == 0 || time.Now().After(until) {
			return err
		}
		if !retry.Sleep(ctx, pendingRetryDelay) {
			return context.Cause(ctx)
		}
	}
}
