package entry

import (
	"context"
	"fmt"
	"time"

	"github.com/google/uuid"

	"mulberryscale.example/api"
	"mulberryscale.example/claims"
	"mulberryscale.example/membership"
	"mulberryscale.example/retry"
	"mulberryscale.example/wire"
)

const (
	// claimRounds bounds how often one call takes over claims that never ran.
	claimRounds = 4
	// attachRounds bounds how often a lost answer is asked for.
	attachRounds = 5
	// claimRetryAfter is when to come back while the table service is down.
	claimRetryAfter = 2 * time.Second
	// unknownRetryAfter is when to ask again for an outcome that is not known.
	unknownRetryAfter = 2 * time.Second
)

// claimDigest identifies a completion's content.
func claimDigest(req *api.CompletionRequest) string {
	return claims.Digest(req.Model, req.Prompt, fmt.Sprint(req.MaxTokens, req.Temperature, req.Seed))
}

// runIdentified runs a call by what its caller said of repeating it.
func (e *Entry) runIdentified(ctx context.Context, work *call, id identity, digest string) (*wire.Done, *api.Refusal) {
	if !id.nonIdempotent || id.key == "" {
		return e.runCall(ctx, work)
	}
	return e.runClaimed(ctx, work, id.key, digest)
}

// runClaimed runs a keyed call that must run at most once: it is claimed in the
// table service for one incarnation of one agent before it is sent. A call
// whose claim another made is answered with that run's answer.
func (e *Entry) runClaimed(ctx context.Context, work *call, key, digest string) (*wire.Done, *api.Refusal) {
	work.route.Exclude = map[string]bool{}
	var stands *claims.Claim // the claim to take over, nil when there is none
	var refusal *api.Refusal
	for range claimRounds {
		agent, none := e.pick(&work.route)
		if none != nil {
			return nil, none
		}
		claim, mine, err := e.claim(ctx, work.row.Name, key, digest, stands, agent)
		if err != nil {
			return nil, e.claimRefusal(err)
		}
		var done *wire.Done
		if mine {
			done, refusal = e.runOwned(ctx, work, key, &claim, agent)
		} else {
			done, refusal = e.follow(ctx, work, key, digest, &claim)
		}
		if refusal == nil {
			return done, nil
		}
		if refusal.NotRun != api.NotRunTrue || !retry.Repeatable(refusal, false) || !e.budget.Take() {
			return nil, refusal
		}
		e.countRetry(work.row.Name, refusal)
		work.route.Exclude[claim.Agent] = true
		stands = &claim
	}
	return nil, refusal
}

// claim makes the claim of a key for an agent, or takes over one that never ran.
func (e *Entry) claim(ctx context.Context, row, key, digest string, stands *claims.Claim, agent *membership.Agent) (claims.Claim, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, DefaultClaimTimeout)
	defer cancel()
	c := claims.Claim{
		Owner: uuid.NewString(), Agent: agent.ID, Addr: agent.Addr, Incarnation: agent.Incarnation,
		Digest: digest, At: time.Now(),
	}
	if stands != nil {
		return e.claims.TakeOver(ctx, row, key, *stands, c)
	}
	return e.claims.Make(ctx, row, key, c)
}

// claimRefusal refuses a call that was not claimed, and hence not sent.
func (e *Entry) claimRefusal(err error) *api.Refusal {
	message := "the table service cannot record the claim now: " + err.Error()
	return e.refusal(api.CodeClaimStoreDown, message, StepClaim, claimRetryAfter)
}

// runOwned sends the run that this entry has claimed, once. When the answer is
// lost, it asks the same agent for it.
func (e *Entry) runOwned(ctx context.Context, work *call, key string, claim *claims.Claim, agent *membership.Agent) (*wire.Done, *api.Refusal) {
	run := e.claimedRun(ctx, work, key, claim)
	done, refusal := e.sendClaimed(ctx, work, agent, run)
	if refusal == nil || refusal.Code != api.CodeTransport || refusal.NotRun == api.NotRunTrue {
		return done, refusal
	}
	return e.attach(ctx, work, key, claim)
}

func (e *Entry) claimedRun(ctx context.Context, work *call, key string, claim *claims.Claim) *wire.Run {
	run := work.work
	run.RunID = uuid.NewString()
	run.Row = work.row.Name
	run.Key = claims.RunKey(work.row.Name, key, claim.Generation)
	run.Incarnation = claim.Incarnation
	run.Budget = budgetOf(ctx)
	run.Linger = e.cfg.Linger
	run.NonIdempotent = true
	return &run
}

func (e *Entry) sendClaimed(ctx context.Context, work *call, agent *membership.Agent, run *wire.Run) (*wire.Done, *api.Refusal) {
	agent.Sends.Begin()
	defer agent.Sends.End()
	done, err := e.client.Run(ctx, agent, run, func(chunk *wire.Chunk) {
		work.progress.Add(chunk)
		if work.onText != nil {
			work.onText(&work.progress)
		}
	})
	if err != nil {
		return nil, e.asRefusal(err, StepRun)
	}
	return done, nil
}

// attach asks the claim's agent for the run, without ever starting it.
func (e *Entry) attach(ctx context.Context, work *call, key string, claim *claims.Claim) (*wire.Done, *api.Refusal) {
	agent := e.claimedAgent(claim)
	delays := retry.NewBackoff(firstDelay, mostDelay)
	var refusal *api.Refusal
	for range attachRounds {
		e.cfg.Counters.Retry(work.row.Name, string(retry.ReasonAttach))
		run := e.claimedRun(ctx, work, key, claim)
		run.AttachOnly = true
		var done *wire.Done
		done, refusal = e.sendClaimed(ctx, work, agent, run)
		if refusal == nil || refusal.Code != api.CodeTransport {
			return done, refusal
		}
		if e.waitToRetry(ctx, delays.NextBackOff(), refusal) != nil {
			break
		}
	}
	return nil, e.unknownOutcome(claim, refusal.Message)
}

// claimedAgent is the agent that a claim names, whether it is watched or not.
func (e *Entry) claimedAgent(claim *claims.Claim) *membership.Agent {
	a := e.view.Snapshot().Agent(claim.Agent)
	if a != nil && a.Addr == claim.Addr {
		return a
	}
	return &membership.Agent{ID: claim.Agent, Addr: claim.Addr, Sends: &membership.Sends{}}
}

// follow answers a call whose key another call has claimed: with the answer of
// that run, or with a refusal whose NotRun is true when the agent has proved
// that the run never began and never will.
func (e *Entry) follow(ctx context.Context, work *call, key, digest string, claim *claims.Claim) (*wire.Done, *api.Refusal) {
	if claim.Digest != digest {
		return nil, e.refusal(api.CodeDuplicate, "the key was used for another request", StepClaim, 0)
	}
	done, refusal := e.attach(ctx, work, key, claim)
	if refusal == nil || refusal.Code != api.CodeNoEndpoint {
		return done, e.followed(claim, refusal)
	}
	runKey := claims.RunKey(work.row.Name, key, claim.Generation)
	state, err := e.client.Fence(ctx, claim.Agent, claim.Addr, claim.Incarnation, runKey)
	if err != nil {
		return nil, e.unknownOutcome(claim, err.Error())
	}
	if state == wire.FenceNeverRan {
		return nil, refusal
	}
	done, refusal = e.attach(ctx, work, key, claim)
	return done, e.followed(claim, refusal)
}

// followed keeps refusals of another's run from being taken for one that may
// be sent again.
func (e *Entry) followed(claim *claims.Claim, refusal *api.Refusal) *api.Refusal {
	if refusal == nil {
		return nil
	}
	switch refusal.Code {
	case api.CodeWrongIncarnation, api.CodeNoEndpoint, api.CodeTransport, api.CodeDraining:
		return e.unknownOutcome(claim, refusal.Message)
	}
	return refusal
}

func (e *Entry) unknownOutcome(claim *claims.Claim, cause string) *api.Refusal {
	return &api.Refusal{
		Code: api.CodeOutcomeUnknown, NotRun: api.NotRunUnknown, RetryAfter: unknownRetryAfter,
		Message: "the request was sent to an agent that does not tell its outcome: " + cause,
		Step:    StepAttach, Peer: claim.Agent,
	}
}
