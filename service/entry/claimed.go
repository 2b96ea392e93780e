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
	return digest.Of(req.Model, req.Prompt, fmt.Sprint(req.MaxTokens, req.Temperature, req.Seed))
}

// runIdentified runs a call by what its caller said of repeating it.
func (e *Entry) runIdentified(ctx context.Context, work *call, id identity, digest string) (*wire.Done, *api.Refusal) {
	work.subject = quarantine.FingerprintOf(work.row.Name, digest)
	if refusal := e.admitContent(ctx, work); refusal != nil {
		return nil, refusal
	}
	if !id.nonIdempotent || id.key == "" {
		return e.runCall(ctx, work)
	}
	return e.runClaimed(ctx, work, id.key, digest)
}

// runClaimed runs a keyed call that must run at most once: it is claimed in the
// table service for one incarnation of one agent before it is sent. A call
// whose claim another made is answered with that run's answer. A claim that is
// proven never to run is taken over, a few times at most.
func (e *Entry) runClaimed(ctx context.Context, work *call, key, digest string) (*wire.Done, *api.Refusal) {
	e.budget.CountAttempt()
	work.route.Exclude = map[string]bool{}
	var stands *claims.Claim // the claim to take over, nil when there is none
	var last *api.Refusal
	for range claimRounds {
		agent, none := e.pickReady(ctx, work)
		if none != nil {
			return nil, cmp.Or(last, none)
		}
		claim, mine, err := e.claim(ctx, work.row.Name, key, digest, stands, agent)
		if err != nil {
			return nil, e.claimRefusal(err)
		}
		done, refusal := e.runClaim(ctx, work, key, digest, &claim, mine, agent)
		if refusal == nil {
			return done, nil
		}
		if !e.mayEndAnother(work) || !mayTakeOver(refusal) || !e.mayRetry(work.row.Name, refusal) {
			return nil, refusal
		}
		work.route.Exclude[agent.ID] = mine && refusedBy(agent, refusal)
		stands, last = &claim, refusal
	}
	return nil, last
}

// runClaim runs a claimed call, or answers it with the run of the call that
// has claimed its key.
func (e *Entry) runClaim(ctx context.Context, work *call, key, digest string, claim *claims.Claim, mine bool, agent *membership.Agent) (*wire.Done, *api.Refusal) {
	if mine {
		return e.runOwned(ctx, work, key, claim, agent)
	}
	if claim.Digest != digest {
		return nil, e.refusal(api.CodeDuplicate, "the key was used for another request", StepClaim, 0)
	}
	return e.resolve(ctx, work, key, claim)
}

// mayTakeOver says whether a refusal proves that the claim never ran and never
// will, and another agent may do better.
func mayTakeOver(r *api.Refusal) bool {
	return r.NotRun == api.NotRunTrue && (r.Code == api.CodeFenced || retry.Repeatable(r, false))
}

// refusedBy says whether the agent does not take the call now. One that has
// only restarted, or was fenced for this claim, may take it under another.
func refusedBy(agent *membership.Agent, r *api.Refusal) bool {
	return r.Peer == agent.ID && r.Code != api.CodeFenced && r.Code != api.CodeWrongIncarnation
}

// mayRetry takes a retry from the budget and counts it.
func (e *Entry) mayRetry(row string, refusal *api.Refusal) bool {
	if !e.budget.Take() {
		e.cfg.Counters.Refusal(row, api.CodeRetryBudget)
		return false
	}
	e.countRetry(row, refusal)
	return true
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
	return e.claims.Create(ctx, row, key, c)
}

// claimRefusal refuses a call that was not claimed, and hence not sent. An
// earlier call with its key may have run all the same.
func (e *Entry) claimRefusal(err error) *api.Refusal {
	message := "this call was not sent, since the table service cannot record its claim now: " + err.Error()
	r := e.refusal(api.CodeClaimStoreDown, message, StepClaim, claimRetryAfter)
	r.NotRun = api.NotRunUnknown
	return r
}

// runOwned sends the run that this entry has claimed, once. When the answer is
// lost, it asks the same agent for it.
func (e *Entry) runOwned(ctx context.Context, work *call, key string, claim *claims.Claim, agent *membership.Agent) (*wire.Done, *api.Refusal) {
	run := e.claimedRun(ctx, work, key, claim)
	done, refusal := e.send(ctx, work, agent, run)
	switch {
	case refusal == nil, refusal.NotRun == api.NotRunTrue:
		return done, refusal
	case refusal.Code == api.CodeWrongIncarnation:
		// The run was sent only to the process that refused it.
		proven := *refusal
		proven.NotRun = api.NotRunTrue
		proven.RetryAfter = unknownRetryAfter
		return nil, &proven
	case refusal.Code == api.CodeTransport:
		return e.resolve(ctx, work, key, claim)
	}
	return nil, refusal
}

func (e *Entry) claimedRun(ctx context.Context, work *call, key string, claim *claims.Claim) *wire.Run {
	run := work.work
	run.RunID = uuid.NewString()
	run.Row = work.row.Name
	run.Key = claims.RunKey(work.row.Name, key, claim.Generation)
	run.Incarnation = claim.Incarnation
	run.Budget = budgetOf(ctx)
	run.Retention = e.cfg.Retention
	run.NonIdempotent = true
	return &run
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

// claimedAgent is the agent that a claim names, whether it is watched or not.
func (e *Entry) claimedAgent(claim *claims.Claim) *membership.Agent {
	a := e.view.Snapshot().Agent(claim.Agent)
	if a != nil && a.Addr == claim.Addr {
		return a
	}
	return &membership.Agent{ID: claim.Agent, Addr: claim.Addr, InFlight: &membership.InFlight{}}
}

// resolve answers a call with the run of its claim, without ever starting it.
// A refusal says not_run true only when the claim's agent has proved that the
// run never began and never will: an agent that does not know the key may get
// it late, and is asked to fence it first.
func (e *Entry) resolve(ctx context.Context, work *call, key string, claim *claims.Claim) (*wire.Done, *api.Refusal) {
	done, refusal := e.attach(ctx, work, key, claim)
	if refusal == nil || refusal.Code != api.CodeNoEndpoint {
		return done, e.resolved(claim, refusal)
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
	return done, e.resolved(claim, refusal)
}

// unfenced refuses a call whose claim's agent did not fence it.
func (e *Entry) unfenced(claim *claims.Claim, refusal *api.Refusal) *api.Refusal {
	lost := e.unknownOutcome(claim, refusal.Message)
	if refusal.Code == api.CodeWrongIncarnation {
		lost.RetryAfter = 0 // the agent that knew is gone for good
	}
	return lost
}

// resolved keeps what proves nothing of the claim's run from being taken for a proof.
func (e *Entry) resolved(claim *claims.Claim, refusal *api.Refusal) *api.Refusal {
	if refusal == nil {
		return nil
	}
	switch refusal.Code {
	case api.CodeWrongIncarnation, api.CodeTransport, api.CodeNoEndpoint:
		return e.unfenced(claim, refusal)
	}
	return refusal
}

// neverRan refuses a call whose claim was fenced before its run began.
func neverRan(claim *claims.Claim) *api.Refusal {
	return &api.Refusal{
		Code: api.CodeFenced, Message: "the request never reached the agent that its claim names",
		NotRun: api.NotRunTrue, RetryAfter: unknownRetryAfter, Step: StepAttach, Peer: claim.Agent,
	}
}

func (e *Entry) unknownOutcome(claim *claims.Claim, cause string) *api.Refusal {
	return &api.Refusal{
		Code: api.CodeOutcomeUnknown, NotRun: api.NotRunUnknown, RetryAfter: unknownRetryAfter,
		Message: "the request was sent to an agent that does not tell its outcome: " + cause,
		Step:    StepAttach, Peer: claim.Agent,
	}
}
