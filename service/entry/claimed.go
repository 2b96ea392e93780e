package entry

import (
	"cmp"
	"context"
	"fmt"
	"time"

	"github.com/google/uuid"

	"mulberryscale.example/api"
	"mulberryscale.example/claims"
	"mulberryscale.example/internal/digest"
	"mulberryscale.example/membership"
	"mulberryscale.example/quarantine"
	"mulberryscale.example/retry"
	"mulberryscale.example/wire"
)

const (
	// maxClaimRounds is how many claims one call makes or takes over at most.
	maxClaimRounds = 4
	// maxAttachAttempts is how often an agent is asked for a run whose answer was lost.
	maxAttachAttempts = 5
	// claimRetryAfter is the Retry-After while the table service is down.
	claimRetryAfter = 2 * time.Second
	// unknownRetryAfter is the Retry-After while the outcome of a run is not known.
	unknownRetryAfter = 2 * time.Second
)

// claimDigest returns a digest of a completion request's content.
func claimDigest(req *api.CompletionRequest) string {
	return digest.Of(req.Model, req.Prompt, fmt.Sprint(req.MaxTokens, req.Temperature, req.Seed))
}

// runIdentified runs a call: under a claim if it has a key and must run at most once,
// otherwise with retries.
func (e *Entry) runIdentified(ctx context.Context, work *call, id identity, digest string) (*wire.Done, *api.Refusal) {
	work.fingerprint = quarantine.FingerprintOf(work.row.Name, digest)
	if refusal := e.quarantineRefusal(ctx, work); refusal != nil {
		return nil, refusal
	}
	if !id.nonIdempotent || id.key == "" {
		return e.runCall(ctx, work)
	}
	return e.runClaimed(ctx, work, id.key, digest)
}

// runClaimed runs a keyed call that must run at most once: before it is sent, it is
// claimed in the table service for one incarnation of one agent. If another call has
// claimed the key, this one returns the answer of that call's run. A claim whose run is
// proven never to start is taken over, for at most maxClaimRounds rounds in all.
func (e *Entry) runClaimed(ctx context.Context, work *call, key, digest string) (*wire.Done, *api.Refusal) {
	e.budget.CountAttempt()
	work.route.Exclude = map[string]bool{}
	var previous *claims.Claim // the claim to take over, nil when there is none
	var last *api.Refusal
	for range maxClaimRounds {
		agent, none := e.pickReady(ctx, work)
		if none != nil {
			return nil, cmp.Or(last, none)
		}
		claim, owned, err := e.claim(ctx, work.row.Name, key, digest, previous, agent)
		if err != nil {
			return nil, e.claimRefusal(err)
		}
		done, refusal := e.runClaim(ctx, work, key, digest, &claim, owned, agent)
		if refusal == nil {
			return done, nil
		}
		if !e.mayTryAnother(work) || !mayTakeOver(refusal) || !e.mayRetry(work.row.Name, refusal) {
			return nil, refusal
		}
		work.route.Exclude[agent.ID] = owned && refusedBy(agent, refusal)
		previous, last = &claim, refusal
	}
	return nil, last
}

// runClaim runs a call whose claim is owned by it, and otherwise returns the answer of
// the run of the call that made the claim.
func (e *Entry) runClaim(ctx context.Context, work *call, key, digest string, claim *claims.Claim, owned bool, agent *membership.Agent) (*wire.Done, *api.Refusal) {
	if owned {
		return e.runOwned(ctx, work, key, claim, agent)
	}
	if claim.Digest != digest {
		return nil, e.refusal(api.CodeDuplicate, "the key was used for another request", StepClaim, 0)
	}
	return e.resolve(ctx, work, key, claim)
}

// mayTakeOver reports whether a refusal proves that the claim's run never started and
// never will, and another agent may succeed.
func mayTakeOver(r *api.Refusal) bool {
	return r.NotRun == api.NotRunTrue && (r.Code == api.CodeFenced || retry.Repeatable(r, false))
}

// refusedBy reports whether the agent refuses the call under any claim. An agent that
// has restarted, or has fenced this claim, may accept the call under another claim.
func refusedBy(agent *membership.Agent, r *api.Refusal) bool {
	return r.Peer == agent.ID && r.Code != api.CodeFenced && r.Code != api.CodeWrongIncarnation
}

// mayRetry takes a retry from the budget and counts it. It returns false if the budget
// is used up.
func (e *Entry) mayRetry(row string, refusal *api.Refusal) bool {
	if !e.budget.Take() {
		e.cfg.Counters.Refusal(row, api.CodeRetryBudget)
		return false
	}
	e.countRetry(row, refusal)
	return true
}

// claim claims a key for an agent, or takes over the previous claim, whose run never
// started. It returns the claim in force and whether it is the one made here.
func (e *Entry) claim(ctx context.Context, row, key, digest string, previous *claims.Claim, agent *membership.Agent) (claims.Claim, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, DefaultClaimTimeout)
	defer cancel()
	c := claims.Claim{
		Owner: uuid.NewString(), Agent: agent.ID, Addr: agent.Addr, Incarnation: agent.Incarnation,
		Digest: digest, At: time.Now(),
	}
	if previous != nil {
		return e.claims.TakeOver(ctx, row, key, *previous, c)
	}
	return e.claims.Create(ctx, row, key, c)
}

// claimRefusal returns the refusal of a call that could not be claimed and hence was not
// sent. An earlier call with its key may have run nevertheless.
func (e *Entry) claimRefusal(err error) *api.Refusal {
	message := "this call was not sent, since the table service cannot record its claim now: " + err.Error()
	r := e.refusal(api.CodeClaimStoreDown, message, StepClaim, claimRetryAfter)
	r.NotRun = api.NotRunUnknown
	return r
}

// runOwned sends the run that this entry has claimed, once. If the answer is lost, it
// asks the same agent for the outcome.
func (e *Entry) runOwned(ctx context.Context, work *call, key string, claim *claims.Claim, agent *membership.Agent) (*wire.Done, *api.Refusal) {
	run := e.claimedRun(ctx, work, key, claim)
	done, refusal := e.send(ctx, work, agent, run)
	switch {
	case refusal == nil, refusal.NotRun == api.NotRunTrue:
		return done, refusal
	case refusal.Code == api.CodeWrongIncarnation:
		// The run was sent only to the process that refused it.
		corrected := *refusal
		corrected.NotRun = api.NotRunTrue
		corrected.RetryAfter = unknownRetryAfter
		return nil, &corrected
	case refusal.Code == api.CodeTransport:
		return e.resolve(ctx, work, key, claim)
	}
	return nil, refusal
}

// claimedRun returns the run of a claim, to be sent to the claim's agent.
func (e *Entry) claimedRun(ctx context.Context, work *call, key string, claim *claims.Claim) *wire.Run {
	run := work.template
	run.RunID = uuid.NewString()
	run.Row = work.row.Name
	run.Key = claims.RunKey(work.row.Name, key, claim.Generation)
	run.Incarnation = claim.Incarnation
	run.Budget = budgetOf(ctx)
	run.Retention = e.cfg.Retention
	run.NonIdempotent = true
	return &run
}

// attach asks the claim's agent for the run's answer, without ever starting the run.
func (e *Entry) attach(ctx context.Context, work *call, key string, claim *claims.Claim) (*wire.Done, *api.Refusal) {
	agent := e.claimedAgent(claim)
	delays := retry.NewBackoff(minRetryDelay, maxRetryDelay)
	var refusal *api.Refusal
	for range maxAttachAttempts {
		e.cfg.Counters.Retry(work.row.Name, string(retry.ReasonAttach))
		run := e.claimedRun(ctx, work, key, claim)
		run.AttachOnly = true
		var done *wire.Done
		done, refusal = e.send(ctx, work, agent, run)
		if refusal == nil || refusal.Code != api.CodeTransport {
			return done, refusal
		}
		if e.waitToRetry(ctx, delays.NextBackOff(), refusal) != nil {
			break
		}
	}
	return nil, e.unknownOutcome(claim, refusal.Message)
}

// claimedAgent returns the agent that a claim names, whether this entry watches it or not.
func (e *Entry) claimedAgent(claim *claims.Claim) *membership.Agent {
	a := e.view.Snapshot().Agent(claim.Agent)
	if a != nil && a.Addr == claim.Addr {
		return a
	}
	return &membership.Agent{ID: claim.Agent, Addr: claim.Addr, InFlight: &membership.InFlight{}}
}

// resolve returns the answer of a claim's run, without ever starting the run. A refusal
// has not_run true only if the claim's agent has proved that the run never started and
// never will: an agent that does not know the key may still receive the run late, so it
// is asked to fence the key first.
func (e *Entry) resolve(ctx context.Context, work *call, key string, claim *claims.Claim) (*wire.Done, *api.Refusal) {
	done, refusal := e.attach(ctx, work, key, claim)
	if refusal == nil || refusal.Code != api.CodeNoEndpoint {
		return done, e.claimOutcome(claim, refusal)
	}
	runKey := claims.RunKey(work.row.Name, key, claim.Generation)
	state, err := e.client.Fence(ctx, claim.Agent, claim.Addr, claim.Incarnation, runKey)
	if err != nil {
		return nil, e.unfenced(claim, e.asRefusal(err, StepAttach))
	}
	if state == wire.FenceNeverRan {
		return nil, neverRan(claim)
	}
	done, refusal = e.attach(ctx, work, key, claim)
	return done, e.claimOutcome(claim, refusal)
}

// unfenced returns the refusal of a call whose claim's agent did not fence it.
func (e *Entry) unfenced(claim *claims.Claim, refusal *api.Refusal) *api.Refusal {
	unknown := e.unknownOutcome(claim, refusal.Message)
	if refusal.Code == api.CodeWrongIncarnation {
		unknown.RetryAfter = 0 // the incarnation that knew the outcome no longer exists
	}
	return unknown
}

// claimOutcome returns the refusal for an answer of the claim's agent. One that proves
// nothing about the claim's run becomes an unknown outcome.
func (e *Entry) claimOutcome(claim *claims.Claim, refusal *api.Refusal) *api.Refusal {
	if refusal == nil {
		return nil
	}
	switch refusal.Code {
	case api.CodeWrongIncarnation, api.CodeTransport, api.CodeNoEndpoint:
		return e.unfenced(claim, refusal)
	}
	return refusal
}

// neverRan returns the refusal of a call whose claim was fenced before its run started.
func neverRan(claim *claims.Claim) *api.Refusal {
	return &api.Refusal{
		Code: api.CodeFenced, Message: "the request never reached the agent that its claim names",
		NotRun: api.NotRunTrue, RetryAfter: unknownRetryAfter, Step: StepAttach, Peer: claim.Agent,
	}
}

// unknownOutcome returns the refusal of a call whose run may or may not have taken place.
func (e *Entry) unknownOutcome(claim *claims.Claim, cause string) *api.Refusal {
	return &api.Refusal{
		Code: api.CodeOutcomeUnknown, NotRun: api.NotRunUnknown, RetryAfter: unknownRetryAfter,
		Message: "the request was sent to an agent that does not tell its outcome: " + cause,
		Step:    StepAttach, Peer: claim.Agent,
	}
}
