package relay

import (
	"context"
	"errors"
	"fmt"
	"time"

	"mulberryscale.example/store"
)

// Call is a store call that a peer is asked to make; exactly one of the fields is set.
type Call struct {
	Commit *store.Tx    `cbor:"1,keyasint,omitempty"`
	List   *store.Range `cbor:"2,keyasint,omitempty"`
	Feed   *FeedCall    `cbor:"3,keyasint,omitempty"`
	Put    *ObjectCall  `cbor:"4,keyasint,omitempty"`
	Get    *ObjectCall  `cbor:"5,keyasint,omitempty"`
	Delete *ObjectCall  `cbor:"6,keyasint,omitempty"`
	// Names lists the names of objects; its Name is their prefix.
	Names *ObjectCall `cbor:"7,keyasint,omitempty"`
}

// FeedCall holds the arguments of store.Rows.Feed.
type FeedCall struct {
	Table string        `cbor:"1,keyasint"`
	After uint64        `cbor:"2,keyasint"`
	Wait  time.Duration `cbor:"3,keyasint"`
}

// ObjectCall names an object. Body is set for Put only.
type ObjectCall struct {
	Name string `cbor:"1,keyasint"`
	Body []byte `cbor:"2,keyasint,omitempty"`
}

// Outcome is the encoded result of a call: "done" or the name of a store error.
type Outcome string

// Reply is the response to a Call.
type Reply struct {
	Outcome  Outcome        `cbor:"1,keyasint"`
	Detail   string         `cbor:"2,keyasint,omitempty"`
	Snapshot store.Snapshot `cbor:"3,keyasint"`
	Object   []byte         `cbor:"4,keyasint,omitempty"`
	Names    []string       `cbor:"5,keyasint,omitempty"`
}

// Done reports whether the call succeeded.
func (r *Reply) Done() bool { return r.Outcome == outcomeDone }

// outcomeDone is the outcome of a successful call.
const outcomeDone Outcome = "done"

// outcomes maps the outcomes on the wire to the store's errors.
var outcomes = map[Outcome]error{
	"conflict": store.ErrConflict, "refused": store.ErrRefused, "unknown": store.ErrUnknown,
	"history_gone": store.ErrHistoryGone, "not_found": store.ErrNotFound, "invalid": store.ErrInvalid,
}

// maxServeTime bounds a call that is made for a peer, in addition to the time for which
// a feed may be held.
const maxServeTime = 1500 * time.Millisecond

// Serve makes a call for a peer, on this process's direct path.
func Serve(ctx context.Context, direct store.Store, c *Call) *Reply {
	limit := maxServeTime
	if c.Feed != nil {
		limit += c.Feed.Wait
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	r := &Reply{}
	var err error
	switch {
	case c.Commit != nil:
		r.Snapshot, err = direct.Commit(ctx, *c.Commit)
	case c.List != nil:
		r.Snapshot, err = direct.List(ctx, *c.List)
	case c.Feed != nil:
		r.Snapshot, err = direct.Feed(ctx, c.Feed.Table, c.Feed.After, c.Feed.Wait)
	case c.Put != nil:
		err = direct.PutObject(ctx, c.Put.Name, c.Put.Body)
	case c.Get != nil:
		r.Object, err = direct.GetObject(ctx, c.Get.Name)
	case c.Delete != nil:
		err = direct.DeleteObject(ctx, c.Delete.Name)
	case c.Names != nil:
		r.Names, err = direct.ListObjects(ctx, c.Names.Name)
	default:
		err = fmt.Errorf("%w: a call of no kind that is known here", store.ErrInvalid)
	}
	r.Outcome, r.Detail = outcomeOf(err)
	return r
}

func outcomeOf(err error) (Outcome, string) {
	if err == nil {
		return outcomeDone, ""
	}
	for outcome, known := range outcomes {
		if errors.Is(err, known) {
			return outcome, err.Error()
		}
	}
	return "unknown", err.Error()
}

// Remote is a store.Store that makes its calls through one peer. Call sends a call to
// the peer; after an error the outcome is unknown unless the error is store.ErrRefused.
type Remote struct {
	Call func(context.Context, *Call) (*Reply, error)
}

// do makes a call and translates its outcome to an error of the store.
func (r Remote) do(ctx context.Context, c *Call) (*Reply, error) {
	reply, err := r.Call(ctx, c)
	switch {
	case errors.Is(err, store.ErrRefused):
		return nil, err
	case err != nil:
		return nil, fmt.Errorf("%w: %v", store.ErrUnknown, err)
	case reply == nil:
		return nil, fmt.Errorf("%w: the other process makes no such calls", store.ErrRefused)
	case reply.Done():
		return reply, nil
	}
	known, ok := outcomes[reply.Outcome]
	if !ok {
		known = store.ErrUnknown
	}
	return nil, fmt.Errorf("%w (through another process: %s)", known, reply.Detail)
}

// Commit implements store.Rows.
func (r Remote) Commit(ctx context.Context, tx store.Tx) (store.Snapshot, error) {
	return r.snapshot(ctx, &Call{Commit: &tx})
}

// List implements store.Rows.
func (r Remote) List(ctx context.Context, rng store.Range) (store.Snapshot, error) {
	return r.snapshot(ctx, &Call{List: &rng})
}

// Feed implements store.Rows.
func (r Remote) Feed(ctx context.Context, table string, after uint64, wait time.Duration) (store.Snapshot, error) {
	return r.snapshot(ctx, &Call{Feed: &FeedCall{Table: table, After: after, Wait: wait}})
}

// PutObject implements store.Objects.
func (r Remote) PutObject(ctx context.Context, name string, body []byte) error {
	_, err := r.do(ctx, &Call{Put: &ObjectCall{Name: name, Body: body}})
	return err
}

// GetObject implements store.Objects.
func (r Remote) GetObject(ctx context.Context, name string) ([]byte, error) {
	reply, err := r.do(ctx, &Call{Get: &ObjectCall{Name: name}})
	if err != nil {
		return nil, err
	}
	return reply.Object, nil
}

// DeleteObject implements store.Objects.
func (r Remote) DeleteObject(ctx context.Context, name string) error {
	_, err := r.do(ctx, &Call{Delete: &ObjectCall{Name: name}})
	return err
}

// ListObjects implements store.Objects.
func (r Remote) ListObjects(ctx context.Context, prefix string) ([]string, error) {
	reply, err := r.do(ctx, &Call{Names: &ObjectCall{Name: prefix}})
	if err != nil {
		return nil, err
	}
	return reply.Names, nil
}

func (r Remote) snapshot(ctx context.Context, c *Call) (store.Snapshot, error) {
	reply, err := r.do(ctx, c)
	if err != nil {
		return store.Snapshot{}, err
	}
	return reply.Snapshot, nil
}
