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

// forgetTimeout bounds the Forget calls to all agents.
const forgetTimeout = 2 * time.Second

// peer is the id and address of an agent, as encoded in a placement hint.
type peer struct{ id, addr string }

func peerOf(a *membership.Agent) peer { return peer{a.ID, a.Addr} }

// hint returns the placement hint, which is opaque to trainers.
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

// forget tells agents to drop runs whose results are not needed, by agent and sample
// key. It calls all agents concurrently, and is best effort: an agent that is not
// reached drops the runs after Retention.
func (r *Runner) forget(ctx context.Context, keys map[peer][]string) {
	ctx, cancel := context.WithTimeout(ctx, forgetTimeout)
	defer cancel()
	var wg sync.WaitGroup
	for p, ks := range keys {
		wg.Go(func() {
			if err := r.Client.Forget(ctx, p.id, p.addr, ks); err != nil {
				r.Log.WithError(err).WithField("peer", p.id).Debug("forget request failed")
			}
		})
	}
	wg.Wait()
}

// forgetLater calls forget in its own goroutine, since the caller should not wait for
// agents that may be dead.
func (r *Runner) forgetLater(ctx context.Context, keys map[peer][]string) {
	if len(keys) > 0 {
		go r.forget(context.WithoutCancel(ctx), keys)
	}
}

// Confirm tells agents to forget samples that the trainer has received. Ids without a
// placement hint are skipped; the error is a malformed hint.
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
