package tablesync

import (
	"context"
	"errors"
	"sync"

	"github.com/gravitational/trace"
)

// Bootstrap finds a first version for a process that starts: it asks some peers
// and the table service at once and keeps the newest answer. The poller may be
// nil, as for agents, which leave the table service to the entries. An error
// says why neither has a table; the caller may go on and try again.
func Bootstrap(ctx context.Context, spread *Spread, poller *Poller, peers []Peer) error {
	var fromPeers, fromService error
	var both sync.WaitGroup
	both.Go(func() { fromPeers = spread.Bootstrap(ctx, peers) })
	if poller != nil {
		both.Go(func() { fromService = poller.Poll(ctx) })
	}
	both.Wait()
	if spread.config.Holder.Version() > 0 {
		return nil
	}
	return trace.Wrap(errors.Join(fromPeers, fromService), "step table.bootstrap: no table is known")
}
