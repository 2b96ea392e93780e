package batch

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"mulberryscale.example/fleet"
	"mulberryscale.example/observe"
	"mulberryscale.example/pace"
	"mulberryscale.example/store"
)

// Errors of a submission that no retry can mend.
var (
	// ErrMalformed says that a submission is invalid.
	ErrMalformed = errors.New("batch: malformed job")
	// ErrTooLarge says that the encoded items of a job exceed a limit of package codec.
	ErrTooLarge = errors.New("batch: job too large")
)

const (
	// acceptTimeout bounds how long one entry tries to accept or end a job: twice what the
	// store takes while it is slowed down sixty times. The client then gets an answer and
	// can retry at another entry, which may be able to reach the store.
	acceptTimeout = 1500 * time.Millisecond
	// weightLoadTime is how long an engine may take to load a version: 0.9 s alone, twice
	// that while several load.
	weightLoadTime = 2 * time.Second
	// maxOwners bounds the owners of a job, which its row must hold. Each address takes some
	// 20 bytes of the row's 64 KiB.
	maxOwners = 1500
	// answerReserve is the part of the client's deadline that is kept for writing the
	// answer.
	answerReserve = 100 * time.Millisecond
)

// Submission is a job as a client submits it.
type Submission struct {
	// ID is chosen by the client and unique within its organisation.
	ID string
	// Organisation is the name of the organisation that submits the job; empty for none.
	Organisation string
	Host         string
	Route        *fleet.Route
	Model        string
	Step         int
	MinVersion   uint64
	WantedGroups int // complete groups that the client waits for; 0 is all
	Items        []Item
	// Arrived is when the submission arrived; zero for now. The route's timeout counts from then.
	Arrived time.Time
	// Deadline is when the client stops waiting; zero if it did not say.
	Deadline time.Time
}

// Intake accepts and ends jobs. It is safe for concurrent use.
type Intake struct {
	View   *fleet.View
	Ledger *Ledger
	Demand *Demand
	// Paces holds the paces of engines; nil if none are known.
	Paces    *pace.Table
	Now      func() (time.Duration, bool) // the store's clock; false before it is known
	Log      logrus.FieldLogger
	Counters *observe.Counters
}

// Submit accepts a job. Its error is ErrMalformed, ErrTooLarge or another one of Ledger.Submit.
func (in *Intake) Submit(ctx context.Context, s Submission) error {
	if err := s.check(); err != nil {
		return err
	}
	now, ok := in.Now()
	if !ok {
		return fmt.Errorf("%w: the store has not been reached yet", store.ErrRefused)
	}
	began := time.Now()
	limit := s.limit(began)
	if !began.Before(limit) {
		return fmt.Errorf("%w: no time is left to accept the job", store.ErrRefused)
	}
	ctx, cancel := context.WithDeadline(ctx, limit)
	defer cancel()
	job := in.newJob(s, now)
	err := in.Ledger.Submit(ctx, job, s.Items)
	took := time.Since(began)
	log := in.Log.WithFields(logrus.Fields{
		observe.FieldJob: job.ID, "route": s.Route.Name, "items": len(s.Items), "model": s.Model, "step": s.Step,
		"min_version": s.MinVersion, "owners": len(job.Owners), "ready": job.Ready, "took_ms": took.Milliseconds(),
		"chunks": job.Chunks, "in_objects": job.InObjects, "items_sum": fmt.Sprintf("%.8x", job.ItemsSum),
	})
	if err != nil {
		log.WithError(err).Warn("job not accepted")
		return err
	}
	in.Counters.Observe(observe.NameAccept, s.Route.Name, took)
	log.Info("job accepted")
	return nil
}

// limit returns when the submission is given up, so that its answer is written in time.
func (s *Submission) limit(now time.Time) time.Time {
	limit := now.Add(acceptTimeout)
	if !s.Deadline.IsZero() {
		limit = earlier(limit, s.Deadline.Add(-answerReserve))
	}
	if s.Route.Timeout > 0 {
		limit = earlier(limit, cmp.Or(s.Arrived, now).Add(s.Route.Timeout-answerReserve))
	}
	return limit
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// check returns an error if the submission is malformed.
func (s *Submission) check() error {
	if s.ID == "" {
		return fmt.Errorf("%w: no id", ErrMalformed)
	}
	if !validJobID(s.scopedID()) {
		return fmt.Errorf("%w: the id is %.60q: want at most %d bytes without a slash, less the name of the organisation", ErrMalformed, s.ID, maxJobID)
	}
	if len(s.Items) == 0 {
		return fmt.Errorf("%w: no items", ErrMalformed)
	}
	seen := map[string]bool{}
	for i := range s.Items {
		item := &s.Items[i]
		if item.ID == "" || item.Path == "" || item.Path[0] != '/' {
			return fmt.Errorf("%w: item %d has id %q and path %q", ErrMalformed, i, item.ID, item.Path)
		}
		if seen[item.ID] {
			return fmt.Errorf("%w: two items have the id %q", ErrMalformed, item.ID)
		}
		seen[item.ID] = true
		if err := item.Reward.check(); err != nil {
			return fmt.Errorf("%w: item %q: reward call: %v", ErrMalformed, item.ID, err)
		}
	}
	return nil
}

// Bounds of a reward call. Its body counts towards the operator's bound on the
// whole submission.
const (
	maxRewardID   = 200      // bytes
	maxRewardHost = 255      // bytes, the longest name of a host
	maxRewardPath = 16 << 10 // bytes, what operators allow for all headers
)

// check returns an error that names the field that cannot be sent as it is.
func (c *RewardCall) check() error {
	if c == nil {
		return nil
	}
	for _, field := range []struct {
		name, value string
		limit       int
	}{{"id", c.ID, maxRewardID}, {"host", c.Host, maxRewardHost}, {"path", c.Path, maxRewardPath}} {
		if field.value == "" || len(field.value) > field.limit || strings.ContainsFunc(field.value, isUnsendable) {
			return fmt.Errorf("%s is %.60q: want 1 to %d bytes of printable text without spaces", field.name, field.value, field.limit)
		}
	}
	if c.Path[0] != '/' {
		return fmt.Errorf("path is %.60q: want a slash at its beginning", c.Path)
	}
	return nil
}

// isUnsendable reports whether a character would end a header line or the target of a
// request.
func isUnsendable(r rune) bool { return r <= ' ' || r == 0x7f }

// newJob returns the job of a submission, owned by the engines that serve its model.
func (in *Intake) newJob(s Submission, now time.Duration) *Job {
	snap := in.View.Snapshot()
	service, ok := s.Route.BackendAmong(s.ID, func(service string) bool {
		return snap.HasInstances(service) && servesModel(snap.Config, service, s.Model)
	})
	if !ok {
		service = s.Route.Backend(s.ID)
	}
	engines := engineAddrs(snap.OfService(service))
	ready := len(engines)
	if config := snap.Config.Service(service); config != nil && s.Model != "" {
		engines, ready = orderOwners(snap, service, s, AssignEngines(engines, config.Models, in.Demand)[s.Model])
	}
	engines, ready = limitOwners(s.scopedID(), engines, ready, min(maxOwners, len(groupItems(s.Items))))
	work := 0
	for i := range s.Items {
		work += s.Items[i].expectedWork()
	}
	return &Job{
		ID: s.scopedID(), Organisation: s.Organisation, Priority: s.priority(snap.Config),
		Route: s.Route.Name, Prefix: s.Route.Prefix, Host: s.Host, Service: service,
		Model: s.Model, Step: s.Step, MinVersion: s.MinVersion, SingleVersion: s.Route.SingleVersion,
		Items: len(s.Items), WantedGroups: s.WantedGroups, GroupItems: groupSize(s.Items), Work: work,
		MaxAttempts: s.Route.MaxAttempts, ItemTTL: s.Route.ItemTTL, RunTarget: s.Route.RunTarget, Accepted: now,
		Owners: engines, Ready: ready, Paces: in.pacesOf(snap, engines, now),
	}
}

// pacesOf returns the paces of engines, 0 for those that are not known; nil if none is.
func (in *Intake) pacesOf(snap *fleet.Snapshot, engines []string, now time.Duration) []int {
	if in.Paces == nil {
		return nil
	}
	agents, known := countEngines(snap), false
	paces := make([]int, len(engines))
	for i, addr := range engines {
		instance, _ := snap.AtAddr(addr)
		paces[i] = in.Paces.Pace(addr, instance.StartedAt, now, agents)
		known = known || paces[i] > 0
	}
	if !known {
		return nil
	}
	return paces
}

// countEngines returns the number of model engines in a snapshot, which is that of the agents.
// Only engines have weight versions.
func countEngines(snap *fleet.Snapshot) int {
	n := 0
	for _, i := range snap.Instances {
		if len(i.Versions) > 0 {
			n++
		}
	}
	return n
}

// groupSize returns the number of items in each group; 0 if groups differ in size or an
// item has no group.
func groupSize(items []Item) int {
	sizes := map[string]int{}
	for i := range items {
		sizes[items[i].Group]++
	}
	size := len(items) / max(1, len(sizes))
	for group, n := range sizes {
		if group == "" || n != size {
			return 0
		}
	}
	return size
}

// priority is that of the organisation, which takes precedence over that of the route.
func (s *Submission) priority(config *fleet.Config) int {
	if config != nil {
		if o := config.OrganisationByName(s.Organisation); o != nil {
			return o.Priority
		}
	}
	return s.Route.Priority
}

// orderOwners returns the engines that serve a model, those first that can run its items
// at once, and the number of these. The others load the newest version just now, or must
// load a version first.
func orderOwners(snap *fleet.Snapshot, service string, s Submission, assignment Assignment) (list []string, ready int) {
	newest := snap.NamedVersions[s.Model]
	loading := time.Since(snap.NamedVersionsAt[s.Model]) < weightLoadTime
	var late []string
	for _, i := range snap.OfService(service) {
		version := i.Versions[s.Model]
		switch {
		case !assignment.Has(i.Addr):
		case version < s.MinVersion, loading && version < newest && assignment.LoadsAtOnce(i.Addr, newest):
			late = append(late, i.Addr)
		default:
			list = append(list, i.Addr)
		}
	}
	return append(list, late...), len(list)
}

// limitOwners keeps as many of the owners of a job as it has groups: those to which AssignItems
// assigns one. Each owner reads all items of the job, and after a restart all its saved text, and
// every process reads the list of owners; without a limit both would grow with the fleet. Agents
// that are no owners help by taking items over.
func limitOwners(jobID string, owners []string, ready, groups int) ([]string, int) {
	if len(owners) <= groups {
		return owners, ready
	}
	kept := append(lowestRanked(jobID, owners[:ready], groups), lowestRanked(jobID, owners[ready:], groups-min(ready, groups))...)
	return kept, min(ready, groups)
}

// lowestRanked returns the n owners with the lowest rank for a key, or all if there are fewer, in
// their order in the list.
func lowestRanked(key string, owners []string, n int) []string {
	if len(owners) <= n {
		return slices.Clone(owners)
	}
	ranked := slices.Clone(owners)
	slices.SortFunc(ranked, func(a, b string) int { return cmp.Compare(rank(key, a), rank(key, b)) })
	return slices.DeleteFunc(slices.Clone(owners), func(o string) bool { return !slices.Contains(ranked[:n], o) })
}

// End ends a job; for a job that has ended already it does nothing. Its error is ErrNoJob
// if there is no such job, or one of the ledger.
func (in *Intake) End(ctx context.Context, id string) error {
	ctx, cancel := context.WithTimeout(ctx, acceptTimeout)
	defer cancel()
	_, ended, found, err := in.Ledger.Job(ctx, id)
	if err != nil {
		return err
	}
	if !found {
		return ErrNoJob
	}
	if ended {
		return nil
	}
	err = in.Ledger.End(ctx, id)
	in.Log.WithField(observe.FieldJob, id).WithError(err).Info("job's end")
	return err
}
