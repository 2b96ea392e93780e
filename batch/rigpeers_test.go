package batch

import (
	"context"
	"fmt"

	"mulberryscale.example/store"
	"mulberryscale.example/store/relay"
)

// rigPeers are the other agents of a rig, as paths to the store.
type rigPeers struct {
	rig  *workerRig
	self string
}

func (o *rigPeers) Candidates() []store.Store {
	var drawn []store.Store
	for _, addr := range o.rig.addrs() {
		if addr == o.self {
			continue
		}
		drawn = append(drawn, relay.Remote{Call: func(ctx context.Context, c *relay.Call) (*relay.Reply, error) {
			reply, err := o.rig.peers.Call(ctx, addr, &PeerRequest{From: o.self, Store: c})
			if err != nil {
				return nil, fmt.Errorf("%w: %v", store.ErrRefused, err)
			}
			return reply.Store, nil
		}})
	}
	return drawn
}
