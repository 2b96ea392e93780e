package results

import (
	"sync"
	"time"

	"mulberryscale.example/api"
	"mulberryscale.example/wire"
)

// Defaults of Options.
const (
	DefaultMaxBytes = 24 << 20
	DefaultMaxKeys  = 1 << 18
	// DefaultAnswerRetention keeps the answer of a non-idempotent key whose
	// caller asked for no linger, so that a repeat gets it.
	DefaultAnswerRetention = time.Minute
)

const stepAttach = "agent.attach"

// Options are the bounds of a store; the zero value of a field means its default.
type Options struct {
	// Peer is the id that refusals carry.
	Peer string
	// MaxBytes bounds the kept results. When they exceed it, ended runs
	// without readers are dropped, the longest idle first.
	MaxBytes int
	// MaxKeys bounds the keys that are remembered for the whole incarnation:
	// the non-idempotent, the fenced and the other started ones, each. Beyond
	// it new non-idempotent keys and new fences are refused.
	MaxKeys int
	// AnswerRetention is how long at least the answer of a non-idempotent key is kept.
	AnswerRetention time.Duration
}

// Store is an agent's memory of its runs. It is safe for concurrent use.
type Store struct {
	opts   Options
	mu     sync.Mutex
	runs   map[string]*Run // by key
	bytes  int
	used   keySet // non-idempotent keys that were started
	ran    keySet // other keys that were started
	fenced keySet
	turns  int // how many incarnations ended
}

// New makes an empty store.
func New(opts Options) *Store {
	if opts.MaxBytes <= 0 {
		opts.MaxBytes = DefaultMaxBytes
	}
	if opts.MaxKeys <= 0 {
		opts.MaxKeys = DefaultMaxKeys
	}
	if opts.AnswerRetention <= 0 {
		opts.AnswerRetention = DefaultAnswerRetention
	}
	return &Store{
		opts:   opts,
		runs:   make(map[string]*Run),
		used:   newKeySet(opts.MaxKeys),
		ran:    newKeySet(opts.MaxKeys),
		fenced: newKeySet(opts.MaxKeys),
	}
}

// Begin attaches a reader to the run of the request's key, or begins a run
// when there is none that may be attached to. Closed, when set, is the refusal
// for requests that would begin a run. A reader that is not Attached has begun
// the run: its caller must see to it that the run ends.
func (s *Store) Begin(now time.Time, req *wire.Run, closed *api.Refusal) (*Reader, *api.Refusal) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if run := s.attachable(req); run != nil {
		run.linger = max(run.linger, req.Retention)
		run.readers++
		return &Reader{run: run, attached: true, whole: run.generation}, nil
	}
	if refusal := s.refuseBegin(req, closed); refusal != nil {
		return nil, refusal
	}
	return s.begin(now, req), nil
}

// attachable is the run that a request attaches to. An idempotent run that
// failed, or whose text is too old for the request, is attached to only by a
// request that may not begin another.
func (s *Store) attachable(req *wire.Run) *Run {
	run, ok := s.runs[req.Key]
	if req.Key == "" || !ok {
		return nil
	}
	if !run.nonIdempotent && !req.AttachOnly && run.useless(req.MinVersion) {
		return nil
	}
	return run
}

func (s *Store) refuseBegin(req *wire.Run, closed *api.Refusal) *api.Refusal {
	switch {
	case s.used.has(req.Key):
		return s.refuse(api.CodeDuplicate, "the key has run, and its answer is not kept any more", api.NotRunFalse)
	case s.fenced.has(req.Key):
		return s.refuse(api.CodeFenced, "the key was fenced", s.notRun(req.Key, req.NonIdempotent))
	case req.AttachOnly:
		return s.refuse(api.CodeNoEndpoint, "the key is not known here", api.NotRunTrue)
	case closed != nil:
		return s.truthful(req.Key, req.NonIdempotent, closed)
	case req.NonIdempotent && req.Key != "" && s.used.full():
		refusal := s.refuse(api.CodeQueueFull, "too many non-idempotent keys in this incarnation", api.NotRunTrue)
		refusal.RetryAfter = s.opts.AnswerRetention
		return refusal
	}
	return nil
}

func (s *Store) begin(now time.Time, req *wire.Run) *Reader {
	if old, ok := s.runs[req.Key]; ok && req.Key != "" {
		s.drop(old)
	}
	run := &Run{
		store:         s,
		id:            req.RunID,
		key:           req.Key,
		nonIdempotent: req.NonIdempotent,
		generation:    req.Generate != nil,
		state:         StateQueued,
		linger:        req.Retention,
		readers:       1,
		idleSince:     now,
		changed:       make(chan struct{}),
	}
	if run.nonIdempotent && run.key != "" {
		run.linger = max(run.linger, s.opts.AnswerRetention)
	}
	if g := req.Generate; g != nil {
		run.text = []byte(g.Prefix)
		run.prefixBytes = len(g.Prefix)
		run.prefixSpans = g.PrefixSpans
	}
	if run.key != "" {
		s.runs[run.key] = run
		run.resize()
	}
	return &Reader{run: run, bytes: run.prefixBytes}
}

// notRun is what is known of a key that has no run here.
func (s *Store) notRun(key string, nonIdempotent bool) api.NotRun {
	if key == "" {
		return api.NotRunTrue
	}
	// A non-idempotent key belongs to one of the two incarnations that are remembered.
	forgotten := s.turns > 1 && !nonIdempotent
	switch {
	case s.ran.has(key), s.used.has(key):
		return api.NotRunFalse
	case s.ran.full(), forgotten:
		return api.NotRunUnknown
	}
	return api.NotRunTrue
}

// NearKeyLimit says whether the keys of this incarnation will soon reach MaxKeys,
// so that the agent should take another one.
func (s *Store) NearKeyLimit() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.used.crowded() || s.ran.crowded() || s.fenced.crowded()
}

// NextIncarnation begins another incarnation's memory. The keys of the one that ends are
// remembered until the next NextIncarnation, those of the one before are forgotten: the
// agent must refuse requests that name it from before the call on.
func (s *Store) NextIncarnation() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.turns++
	s.used.turn()
	s.ran.turn()
	s.fenced.turn()
}

// remember keeps a started key for the whole incarnation.
func (s *Store) remember(r *Run) {
	set := s.ran
	if r.nonIdempotent {
		set = s.used
	}
	if r.key == "" || set.has(r.key) || (!r.nonIdempotent && set.full()) {
		return
	}
	set.add(r.key)
	r.remembered = true
}

// unremember takes remember back when the endpoint proves that it ran nothing.
func (s *Store) unremember(r *Run) {
	if !r.remembered {
		return
	}
	s.used.remove(r.key)
	s.ran.remove(r.key)
}

// truthful corrects a refusal of this attempt that says "not run" where an
// earlier attempt of the key ran.
func (s *Store) truthful(key string, nonIdempotent bool, refusal *api.Refusal) *api.Refusal {
	notRun := s.notRun(key, nonIdempotent)
	if key == "" || refusal.NotRun != api.NotRunTrue || notRun == api.NotRunTrue {
		return refusal
	}
	corrected := *refusal
	corrected.NotRun = notRun
	return &corrected
}

func (s *Store) lockedTruthful(key string, nonIdempotent bool, refusal *api.Refusal) *api.Refusal {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.truthful(key, nonIdempotent, refusal)
}

// drop forgets a run; readers that still hold it can read on.
func (s *Store) drop(r *Run) {
	if r.key == "" || s.runs[r.key] != r {
		return
	}
	delete(s.runs, r.key)
	s.bytes -= r.size
}

func (s *Store) refuse(code api.Code, message string, notRun api.NotRun) *api.Refusal {
	return &api.Refusal{Code: code, Message: message, NotRun: notRun, Step: stepAttach, Peer: s.opts.Peer}
}

// Undelivered counts the kept results that no reader has passed on yet.
func (s *Store) Undelivered() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, run := range s.runs {
		if run.done != nil && !run.delivered {
			n++
		}
	}
	return n
}

// Bytes is the memory of the runs that are kept by key.
func (s *Store) Bytes() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.bytes
}
