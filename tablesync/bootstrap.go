package tablesync

import (
	"context"
	"errors"
	"sync"

	"github.com/gravitational/trace"
)

// Bootstrap finds the first version for a process that starts: it queries some peers
// and the table service concurrently and keeps the newest version. The poller may be
// nil, as it is in agents: only entries read the table service. The error joins the
// errors of both sources; the caller may continue and retry.
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
