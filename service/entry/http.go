package entry

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/kataras/iris/v12"

	"mulberryscale.example/api"
	"mulberryscale.example/attempt"
	"mulberryscale.example/table"
)

// Processing steps, as named in refusals.
const (
	StepRead   = "entry.read"
	StepAdmit  = "entry.admit"
	StepRoute  = "entry.route"
	StepClaim  = "entry.claim"
	StepAttach = "entry.attach"
	StepRun    = "entry.run"
	StepStep   = "entry.step"
	StepScore  = "entry.score"
)

// maxKeyLength is the size limit of an Idempotency-Key, in bytes.
const maxKeyLength = 256

func (e *Entry) newHandler() (http.Handler, error) {
	app := iris.New()
	app.Logger().SetLevel("disable")
	app.Get(api.PathLive, func(c iris.Context) { c.StatusCode(http.StatusOK) })
	app.Get(api.PathReady, e.handleReady)
	app.Post(api.PathCompletions, e.whileServing(e.handleCompletion))
	app.Any(api.PathServices+"{row:string}/{path:path}", e.whileServing(e.handleService))
	app.Any(api.PathServices+"{row:string}", e.whileServing(e.handleService))
	app.Post(api.PathTrainers+"{row:string}/steps/{step:string}", e.whileServing(e.handleStep))
	app.Post(api.PathTrainers+"{row:string}/steps/{step:string}/confirm", e.whileServing(e.handleConfirm))
	if err := app.Build(); err != nil {
		return nil, err
	}
	return app, nil
}

func (e *Entry) handleReady(c iris.Context) {
	if !e.Ready() {
		c.StatusCode(http.StatusServiceUnavailable)
		return
	}
	c.StatusCode(http.StatusOK)
}

// whileServing refuses calls while the entry is draining and counts others as active.
func (e *Entry) whileServing(handle func(iris.Context)) iris.Handler {
	return func(c iris.Context) {
		if !e.begin() {
			e.refuse(c, "", e.refusal(api.CodeDraining, "this entry instance is stopping", StepAdmit, drainingRetryAfter))
			return
		}
		defer e.active.Done()
		handle(c)
	}
}

// refusal returns the refusal of a request that did not run.
func (e *Entry) refusal(code api.Code, message, step string, retryAfter time.Duration) *api.Refusal {
	return &api.Refusal{
		Code: code, Message: message, NotRun: api.NotRunTrue,
		RetryAfter: retryAfter, Step: step, Peer: e.cfg.ID,
	}
}

// refuse answers a call with a refusal and counts it.
func (e *Entry) refuse(c iris.Context, row string, r *api.Refusal) {
	r = e.correctForKey(c, r)
	e.countRefusal(row, r)
	w := c.ResponseWriter()
	w.Header().Set("Content-Type", "application/json")
	if after := r.RetryAfterHeader(); after != "" {
		w.Header().Set("Retry-After", after)
	}
	w.WriteHeader(r.Status())
	if err := json.NewEncoder(w).Encode(api.ErrorBody{Error: r}); err != nil {
		e.cfg.Log.WithError(err).Debug("refusal not written")
	}
}

// correctForKey corrects a refusal of a call that needs a claim: until the claim of its
// key has been read, it is not known whether an earlier call with the key ran.
func (e *Entry) correctForKey(c iris.Context, r *api.Refusal) *api.Refusal {
	unclaimed := r.Step == StepAdmit || r.Step == StepRoute
	if r.NotRun != api.NotRunTrue || r.Peer != e.cfg.ID || !unclaimed || !e.needsClaim(c) {
		return r
	}
	corrected := *r
	corrected.NotRun = api.NotRunUnknown
	corrected.Message += "; this call was not sent, and whether an earlier one with its key ran is not known here"
	return &corrected
}

// needsClaim reports whether a call has a key and must run at most once.
func (e *Entry) needsClaim(c iris.Context) bool {
	if c.GetHeader(api.HeaderIdempotencyKey) == "" {
		return false
	}
	if c.GetHeader(api.HeaderNonIdempotent) == "true" {
		return true
	}
	if !strings.HasPrefix(c.Path(), api.PathServices) || isSafe(c.Method()) {
		return false
	}
	row, known := e.cfg.Holder.Current().Row(c.Params().Get("row"))
	return !known || !row.Repeatable
}

// countRefusal counts and logs a refusal.
func (e *Entry) countRefusal(row string, r *api.Refusal) {
	e.cfg.Counters.Refusal(row, r.Code)
	e.cfg.Log.WithError(r).WithField("row", row).Info("request refused")
}

// readJSON decodes a request's body, of at most MaxBody bytes, into v.
func (e *Entry) readJSON(c iris.Context, v any) *api.Refusal {
	body, refusal := e.readBody(c)
	if refusal != nil {
		return refusal
	}
	if err := json.Unmarshal(body, v); err != nil {
		return e.refusal(api.CodeBadRequest, "the body is not the expected JSON: "+err.Error(), StepRead, 0)
	}
	return nil
}

func (e *Entry) readBody(c iris.Context) ([]byte, *api.Refusal) {
	limited := http.MaxBytesReader(c.ResponseWriter(), c.Request().Body, e.cfg.MaxBody)
	body, err := io.ReadAll(limited)
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, e.refusal(api.CodeTooLarge, "the body is larger than this entry takes", StepRead, 0)
	}
	if err != nil {
		return nil, e.refusal(api.CodeBadRequest, "the body could not be read: "+err.Error(), StepRead, 0)
	}
	return body, nil
}

// row returns a row of the table in force, or a refusal if it does not exist or is of
// none of the given kinds.
func (e *Entry) row(name string, kinds ...table.Kind) (*table.Row, *api.Refusal) {
	snap := e.cfg.Holder.Current()
	if snap == nil {
		return nil, e.refusal(api.CodeNoTable, "no version of the table is known here yet", StepAdmit, noEndpointRetryAfter)
	}
	row, ok := snap.Row(name)
	if !ok {
		return nil, e.refusal(api.CodeUnknownRow, "the table has no row of this name", StepAdmit, 0)
	}
	for _, k := range kinds {
		if row.Kind == k {
			return row, nil
		}
	}
	return nil, e.refusal(api.CodeBadRequest, "the row "+name+" is of kind "+string(row.Kind)+", which this call does not serve", StepAdmit, 0)
}

// withDeadline returns a context with the deadline from the caller's header, or else
// with that of the row.
func (e *Entry) withDeadline(c iris.Context, row *table.Row) (context.Context, context.CancelFunc, *api.Refusal) {
	deadline := row.Deadline
	if text := c.GetHeader(api.HeaderDeadline); text != "" {
		d, err := time.ParseDuration(text)
		if err != nil || d <= 0 {
			return nil, nil, e.refusal(api.CodeBadRequest, api.HeaderDeadline+" must be a positive duration such as \"1.5s\"", StepRead, 0)
		}
		deadline = d
	}
	ctx := c.Request().Context()
	if deadline <= 0 {
		ctx, cancel := context.WithCancel(ctx)
		return ctx, cancel, nil
	}
	ctx, cancel := context.WithTimeout(ctx, deadline)
	return ctx, cancel, nil
}

// budgetOf returns the time left until ctx's deadline, or 0 if it has none.
func budgetOf(ctx context.Context) time.Duration {
	deadline, ok := ctx.Deadline()
	if !ok {
		return 0
	}
	return max(time.Until(deadline), time.Nanosecond)
}

// identity is a request's idempotency key, and whether it must run at most once.
type identity struct {
	key           string
	nonIdempotent bool
}

func (e *Entry) identity(c iris.Context) (identity, *api.Refusal) {
	id := identity{key: c.GetHeader(api.HeaderIdempotencyKey)}
	if len(id.key) > maxKeyLength {
		return id, e.refusal(api.CodeBadRequest, api.HeaderIdempotencyKey+" is longer than 256 bytes", StepRead, 0)
	}
	switch c.GetHeader(api.HeaderNonIdempotent) {
	case "", "false":
	case "true":
		id.nonIdempotent = true
	default:
		return id, e.refusal(api.CodeBadRequest, api.HeaderNonIdempotent+" must be true or false", StepRead, 0)
	}
	return id, nil
}

func (e *Entry) asRefusal(err error, step string) *api.Refusal {
	return attempt.AsRefusal(err, step, e.cfg.ID)
}
