package entry

import (
	"net/http"
	"strings"

	"github.com/kataras/iris/v12"

	"mulberryscale.example/api"
	"mulberryscale.example/internal/digest"
	"mulberryscale.example/routing"
	"mulberryscale.example/table"
	"mulberryscale.example/wire"
)

// hopHeaders are not forwarded: they belong to one connection or to this API.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Content-Length", "Host", "Accept-Encoding",
	api.HeaderNonIdempotent, api.HeaderDeadline,
}

// handleService serves a call to a row's plain service.
func (e *Entry) handleService(c iris.Context) {
	row, refusal := e.row(c.Params().Get("row"), table.KindPlain)
	if refusal != nil {
		e.refuse(c, c.Params().Get("row"), refusal)
		return
	}
	work, id, refusal := e.readServiceCall(c, row)
	if refusal != nil {
		e.refuse(c, row.Name, refusal)
		return
	}
	ctx, end := e.beginCall(c, row)
	if end == nil {
		return
	}
	defer end(0)
	call := work.template.Call
	digest := digest.Of(call.Method, call.Path, string(call.Body))
	done, refusal := e.runIdentified(ctx, work, id, digest)
	if refusal != nil {
		e.refuse(c, row.Name, refusal)
		return
	}
	e.writeAnswer(c, done.Answer)
}

func (e *Entry) readServiceCall(c iris.Context, row *table.Row) (*call, identity, *api.Refusal) {
	id, refusal := e.identity(c)
	if refusal != nil {
		return nil, id, refusal
	}
	body, refusal := e.readBody(c)
	if refusal != nil {
		return nil, id, refusal
	}
	method := c.Request().Method
	id.nonIdempotent = id.nonIdempotent || !(row.Repeatable || isSafe(method))
	work := &call{
		row: row, idempotent: !id.nonIdempotent,
		route: routing.Request{Service: row.Name, Zone: e.cfg.Zone},
		template: wire.Run{Class: wire.ClassInteractive, ExpectedTokens: 1, Call: &wire.Call{
			Method: method, Path: servicePath(c, row.Name), Header: endToEndHeader(c.Request().Header), Body: body,
		}},
	}
	return work, id, nil
}

// isSafe reports whether HTTP defines a method as safe to repeat.
func isSafe(method string) bool {
	return method == http.MethodGet || method == http.MethodHead || method == http.MethodOptions
}

// servicePath returns the path and query of a request as the service sees them.
func servicePath(c iris.Context, row string) string {
	u := c.Request().URL
	path := strings.TrimPrefix(u.EscapedPath(), api.PathServices+row)
	if path == "" {
		path = "/"
	}
	if u.RawQuery != "" {
		path += "?" + u.RawQuery
	}
	return path
}

// endToEndHeader returns a copy of h without hopHeaders.
func endToEndHeader(h http.Header) map[string][]string {
	out := h.Clone()
	for _, name := range hopHeaders {
		out.Del(name)
	}
	return out
}

func (e *Entry) writeAnswer(c iris.Context, a *wire.Answer) {
	if a == nil {
		e.refuse(c, "", e.refusal(api.CodeInternal, "the agent's answer holds none of the service", StepRun, 0))
		return
	}
	w := c.ResponseWriter()
	for name, values := range endToEndHeader(a.Header) {
		w.Header()[name] = values
	}
	w.WriteHeader(a.Status)
	if _, err := w.Write(a.Body); err != nil {
		e.cfg.Log.WithError(err).Debug("answer not written")
	}
}
