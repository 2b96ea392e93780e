package rollout

import (
	"context"
	"net/netip"
	"strings"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"mulberryscale.example/api"
	"mulberryscale.example/membership"
)

// forgetTimeout bounds the telling of agents what they may forget.
const forgetTimeout = 2 * time.Second

// peer is an agent as a placement hint names it.
type peer struct{ id, addr string }

func peerOf(a *membership.Agent) peer { return peer{a.ID, a.Addr} }

// hint is the opaque form given to trainers.
func (p peer) hint() string { return p.id + "@" + p.addr }

func parseHint(hint string) (peer, error) {
	id, addr, ok := strings.Cut(hint, "@")
	if !ok || id == "" {
		return peer{}, trace.BadParameter("placement hint %q is not id@ip:port", hint)
	}
	if _, err := netip.ParseAddrPort(addr); err != nil {
		return peer{}, trace.BadParameter("placement hint %q: %v", hint, err)
	}
	return peer{id, addr}, nil
}

// forget lets agents drop the samples of keys that nobody waits for, all agents
// at the same time. It is best effort: what an agent is not told it drops after
// its linger.
func (r *Runner) forget(ctx context.Context, keys map[peer][]string) {
	ctx, cancel := context.WithTimeout(ctx, forgetTimeout)
	defer cancel()
	var wg sync.WaitGroup
	for p, ks := range keys {
		wg.Go(func() {
			if err := r.Client.Forget(ctx, p.id, p.addr, ks); err != nil {
				r.Log.WithError(err).WithField("peer", p.id).Debug("agent not told to forget")
			}
		})
	}
	wg.Wait()
}

// forgetLater does the same without making the caller wait for agents that may
// be dead.
func (r *Runner) forgetLater(ctx context.Context, keys map[peer][]string) {
	if len(keys) > 0 {
		go r.forget(context.WithoutCancel(ctx), keys)
	}
}

// Confirm lets agents forget samples that the trainer holds.
func (r *Runner) Confirm(ctx context.Context, row string, req *api.ConfirmRequest) error {
	keys := map[peer][]string{}
	for _, id := range req.IDs {
		hint, ok := req.Hints[id]
		if !ok {
			continue
		}
		p, err := parseHint(hint)
		if err != nil {
			return err
		}
		keys[p] = append(keys[p], Key(row, id))
	}
	r.forgetLater(ctx, keys)
	return nil
}
