package trainer

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/gravitational/trace"
	"github.com/tmaxmax/go-sse"

	"mulberryscale.example/api"
)

// maxEventBytes bounds one event of a step's answer, in bytes.
const maxEventBytes = 64 << 20

// errTruncated reports that a step's answer ended before its end event.
var errTruncated = errors.New("the step's answer ended before its end event")

// session opens one connection for the step and handles its events until the end
// event, which it returns. Without an end event it returns an error.
func (s *stepRun) session(ctx context.Context) (*api.StepEnd, error) {
	s.progressed = false
	req := s.request()
	if len(req.Samples) == 0 {
		return &api.StepEnd{}, nil
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	resp, err := s.post(ctx, "", req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	body := newIdleReader(resp.Body, s.c.cfg.IdleTimeout, cancel)
	defer body.stop()
	for ev, err := range sse.Read(body, &sse.ReadConfig{MaxEventSize: maxEventBytes}) {
		if err != nil {
			return nil, trace.Wrap(err, "reading the step's answer")
		}
		end, err := s.handleEvent(&ev)
		if end != nil || err != nil {
			return end, err
		}
	}
	return nil, errTruncated
}

// handleEvent handles one event. The result is set only for the end event.
func (s *stepRun) handleEvent(ev *sse.Event) (*api.StepEnd, error) {
	switch ev.Type {
	case api.EventSample:
		var sample api.Sample
		if err := json.Unmarshal([]byte(ev.Data), &sample); err != nil {
			return nil, trace.Wrap(err, "decoding a sample")
		}
		return nil, s.receive(sample)
	case api.EventPlacement:
		var p api.Placement
		if err := json.Unmarshal([]byte(ev.Data), &p); err != nil {
			return nil, trace.Wrap(err, "decoding a placement")
		}
		s.c.hints[p.ID] = p.Hint
	case api.EventEnd:
		end := new(api.StepEnd)
		if err := json.Unmarshal([]byte(ev.Data), end); err != nil {
			return nil, trace.Wrap(err, "decoding the step's end")
		}
		return end, nil
	case api.EventRefusal:
		r := new(api.Refusal)
		if err := json.Unmarshal([]byte(ev.Data), r); err != nil {
			return nil, trace.Wrap(err, "decoding a refusal")
		}
		return nil, r
	}
	return nil, nil
}

// post sends a request of the step to the current entry. A refusal is returned as an
// *api.Refusal.
func (s *stepRun) post(ctx context.Context, suffix string, v any) (*http.Response, error) {
	body, err := json.Marshal(v)
	if err != nil {
		return nil, trace.Wrap(err, "encoding a step request")
	}
	entry := s.c.cfg.Entries[s.c.nextEntry%len(s.c.cfg.Entries)]
	target := strings.TrimSuffix(entry, "/") + api.PathTrainers + url.PathEscape(s.c.cfg.Row) +
		"/steps/" + url.PathEscape(s.step.Name) + suffix
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, target, bytes.NewReader(body))
	if err != nil {
		return nil, trace.Wrap(err)
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := s.c.cfg.HTTP.Do(req)
	if err != nil {
		return nil, trace.Wrap(err, "asking entry %v", entry)
	}
	if resp.StatusCode < http.StatusMultipleChoices {
		return resp, nil
	}
	defer resp.Body.Close()
	return nil, readRefusal(resp)
}

func readRefusal(resp *http.Response) error {
	var body api.ErrorBody
	err := json.NewDecoder(io.LimitReader(resp.Body, maxEventBytes)).Decode(&body)
	if err != nil || body.Error == nil {
		return trace.Errorf("the entry answered with status %v and no refusal", resp.StatusCode)
	}
	return body.Error
}

// confirm allows agents to drop the results of received samples. It is best effort.
func (s *stepRun) confirm(ctx context.Context) {
	req := &api.ConfirmRequest{Hints: map[string]string{}}
	for _, id := range s.order {
		if !s.c.received[id] {
			continue
		}
		req.IDs = append(req.IDs, id)
		if hint, ok := s.c.hints[id]; ok {
			req.Hints[id] = hint
		}
	}
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	resp, err := s.post(ctx, "/confirm", req)
	if err == nil {
		resp.Body.Close()
	}
}

// idleReader cancels a request when no data arrives for the timeout.
type idleReader struct {
	r       io.Reader
	timer   *time.Timer
	timeout time.Duration
}

// errIdle is the cancellation cause of a request whose answer was idle for too long.
var errIdle = errors.New("no data from the entry within the idle timeout")

func newIdleReader(r io.Reader, timeout time.Duration, cancel context.CancelCauseFunc) *idleReader {
	return &idleReader{r: r, timeout: timeout, timer: time.AfterFunc(timeout, func() { cancel(errIdle) })}
}

// Read implements io.Reader.
func (i *idleReader) Read(p []byte) (int, error) {
	n, err := i.r.Read(p)
	if n > 0 {
		i.timer.Reset(i.timeout)
	}
	return n, err
}

func (i *idleReader) stop() { i.timer.Stop() }
