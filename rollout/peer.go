package rollout

import (
	"context"
	"net/netip"
	"strings"
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

// Forget lets agents drop the samples of keys that nobody waits for. It is
// best effort: what an agent is not told it drops after its linger.
func (r *Runner) Forget(ctx context.Context, keys map[peer][]string) {
	ctx, cancel := context.WithTimeout(ctx, forgetTimeout)
	defer cancel()
	for p, ks := range keys {
		if err := r.Client.Forget(ctx, p.id, p.addr, ks); err != nil {
			r.Log.WithError(err).WithField("peer", p.id).Debug("agent not told to forget")
		}
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
	r.Forget(ctx, keys)
	return nil
}
