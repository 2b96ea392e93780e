package entry

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"mulberryscale.example/api"
	"mulberryscale.example/internal/digest"
	"mulberryscale.example/retry"
	"mulberryscale.example/routing"
	"mulberryscale.example/table"
	"mulberryscale.example/wire"
)

// scorePath is the HTTP path to which samples are posted for scoring.
const scorePath = "/score"

// headerRequest is the header that identifies the sample to the scoring service.
const headerRequest = "X-Request"

// Delays and time limits of scoring.
const (
	minScoreDelay = 50 * time.Millisecond
	maxScoreDelay = 2 * time.Second
	// outcomeTimeout is how long an agent is asked for the outcome of a scoring call
	// that must not be repeated.
	outcomeTimeout = time.Minute
)

// scoreRequest is the body of a scoring call.
type scoreRequest struct {
	ID    string `json:"id"`
	Group string `json:"group"`
	Text  string `json:"text"`
}

// scoreResponse is the body of the response to a scoring call.
type scoreResponse struct {
	Score *float64 `json:"score"`
}

// scorer scores samples with the plain service that their row names. It implements
// rollout.Scorer.
type scorer struct{ e *Entry }

// Score implements rollout.Scorer. It retries until ctx is done or a refusal is
// permanent. A scoring service whose row is not repeatable is called under a claim, at
// most once for each text of a sample: a sample that was generated again after its
// engine and agent were lost is another request.
func (s *scorer) Score(ctx context.Context, row *table.Row, sample *api.Sample) (float64, error) {
	delays := retry.NewBackoff(minScoreDelay, maxScoreDelay)
	began := time.Now()
	for {
		score, refusal := s.scoreOnce(ctx, row, sample)
		if refusal == nil {
			return score, nil
		}
		if ctx.Err() != nil || !s.mayScoreAgain(row, refusal, time.Since(began)) {
			return 0, refusal
		}
		s.e.cfg.Counters.Retry(row.Scorer, string(retry.ReasonScorer))
		if refusal = s.e.waitToRetry(ctx, delays.NextBackOff(), refusal); refusal != nil {
			return 0, refusal
		}
	}
}

// mayScoreAgain reports whether a retry can succeed after a refusal; waited is the time
// since the first attempt.
func (s *scorer) mayScoreAgain(row *table.Row, r *api.Refusal, waited time.Duration) bool {
	switch r.Code {
	case api.CodeBadRequest, api.CodeUnknownRow, api.CodeTooLarge, api.CodeUnauthorized, api.CodeInternal:
		return false
	case api.CodeClaimStoreDown:
		return true
	case api.CodeOutcomeUnknown:
		// The agent may become reachable and return the outcome; if it has lost the
		// outcome, which RetryAfter 0 shows, no retry helps.
		return r.RetryAfter > 0 && waited < outcomeTimeout
	}
	service, refusal := s.e.row(row.Scorer, table.KindPlain)
	return r.NotRun == api.NotRunTrue || (refusal == nil && service.Repeatable)
}

func (s *scorer) scoreOnce(ctx context.Context, row *table.Row, sample *api.Sample) (float64, *api.Refusal) {
	service, refusal := s.e.row(row.Scorer, table.KindPlain)
	if refusal != nil {
		return 0, refusal
	}
	body, err := json.Marshal(scoreRequest{ID: sample.ID, Group: sample.Group, Text: sample.Text})
	if err != nil {
		return 0, s.e.refusal(api.CodeInternal, "encoding a scoring call: "+err.Error(), StepScore, 0)
	}
	name := row.Name + "/" + sample.ID + "/" + digest.Of(sample.Text)
	work := &call{
		row: service, idempotent: service.Repeatable,
		route: routing.Request{Service: service.Name, Zone: s.e.cfg.Zone},
		template: wire.Run{Class: wire.ClassTraining, ExpectedTokens: 1, Call: &wire.Call{
			Method: http.MethodPost, Path: scorePath, Body: body,
			Header: map[string][]string{"Content-Type": {"application/json"}, headerRequest: {name}},
		}},
	}
	id := identity{key: name, nonIdempotent: !service.Repeatable}
	done, refusal := s.e.runIdentified(ctx, work, id, digest.Of(name))
	if refusal != nil {
		return 0, refusal
	}
	return s.read(done)
}

func (s *scorer) read(done *wire.Done) (float64, *api.Refusal) {
	if done.Answer == nil || done.Answer.Status != http.StatusOK {
		return 0, s.failed("the scoring service did not answer with status 200")
	}
	var answer scoreResponse
	if err := json.Unmarshal(done.Answer.Body, &answer); err != nil || answer.Score == nil {
		return 0, s.failed("the scoring service's answer holds no score")
	}
	return *answer.Score, nil
}

func (s *scorer) failed(message string) *api.Refusal {
	return &api.Refusal{
		Code: api.CodeScorerFailed, Message: message, NotRun: api.NotRunFalse, Step: StepScore, Peer: s.e.cfg.ID,
	}
}
