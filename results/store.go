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
	// caller asked for no retention time, so that a repeated request gets it.
	DefaultAnswerRetention = time.Minute
)

const stepAttach = "agent.attach"

// Options configures a Store; the zero value of a field means its default.
type Options struct {
	// Peer is the id that refusals carry.
	Peer string
	// MaxBytes bounds the memory of the kept results, in bytes. When they exceed
	// it, final runs without readers are dropped, the longest idle first.
	MaxBytes int
	// MaxKeys bounds the number of keys that are stored for the whole incarnation.
	// It applies to the started non-idempotent keys, the fenced keys and the other
	// started keys separately. Beyond it new non-idempotent keys and new fences are
	// refused.
	MaxKeys int
	// AnswerRetention is the minimum time that the answer of a non-idempotent key is kept.
	AnswerRetention time.Duration
}

// Store holds an agent's runs by key. It is safe for concurrent use.
type Store struct {
	opts                 Options
	mu                   sync.Mutex
	runs                 map[string]*Run // by key
	bytes                int
	startedNonIdempotent keySet // non-idempotent keys that were started
	startedOther         keySet // other keys that were started
	fenced               keySet
	incarnationsEnded    int // number of incarnations that have ended
}

// New returns an empty store.
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
		opts:                 opts,
		runs:                 make(map[string]*Run),
		startedNonIdempotent: newKeySet(opts.MaxKeys),
		startedOther:         newKeySet(opts.MaxKeys),
		fenced:               newKeySet(opts.MaxKeys),
	}
}

// Begin attaches a reader to the run of the request's key, or creates a run if
// there is none to attach to. If refuseNew is set, it is the refusal for requests
// that would create a run. If the reader is not Attached, Begin has created the
// run, and the caller must bring it to a final state.
func (s *Store) Begin(now time.Time, req *wire.Run, refuseNew *api.Refusal) (*Reader, *api.Refusal) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if run := s.attachable(req); run != nil {
		run.retention = max(run.retention, req.Retention)
		run.readers++
		return &Reader{run: run, attached: true, sendWhole: run.generation}, nil
	}
	if refusal := s.refuseBegin(req, refuseNew); refusal != nil {
		return nil, refusal
	}
	return s.begin(now, req), nil
}

// attachable returns the run that the request attaches to, nil for none. Only a
// request with AttachOnly attaches to an idempotent run that failed or whose text
// is too old for the request.
func (s *Store) attachable(req *wire.Run) *Run {
	run, ok := s.runs[req.Key]
	if req.Key == "" || !ok {
		return nil
	}
	if !run.nonIdempotent && !req.AttachOnly && run.unusableFor(req.MinVersion) {
		return nil
	}
	return run
}

func (s *Store) refuseBegin(req *wire.Run, refuseNew *api.Refusal) *api.Refusal {
	switch {
	case s.startedNonIdempotent.has(req.Key):
		return s.refuse(api.CodeDuplicate, "the key has run, and its answer is not kept any more", api.NotRunFalse)
	case s.fenced.has(req.Key):
		return s.refuse(api.CodeFenced, "the key was fenced", s.notRun(req.Key, req.NonIdempotent))
	case req.AttachOnly:
		return s.refuse(api.CodeNoEndpoint, "the key is not known here", api.NotRunTrue)
	case refuseNew != nil:
		return s.correctNotRunLocked(req.Key, req.NonIdempotent, refuseNew)
	case req.NonIdempotent && req.Key != "" && s.startedNonIdempotent.full():
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
		retention:     req.Retention,
		readers:       1,
		idleSince:     now,
		changed:       make(chan struct{}),
	}
	if run.nonIdempotent && run.key != "" {
		run.retention = max(run.retention, s.opts.AnswerRetention)
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
	return &Reader{run: run, bytesRead: run.prefixBytes}
}

// notRun returns whether a key without a run in the store is known never to have run: true,
// false or unknown.
func (s *Store) notRun(key string, nonIdempotent bool) api.NotRun {
	if key == "" {
		return api.NotRunTrue
	}
	// A non-idempotent key belongs to one of the two incarnations whose keys are kept.
	forgotten := s.incarnationsEnded > 1 && !nonIdempotent
	switch {
	case s.startedOther.has(key), s.startedNonIdempotent.has(key):
		return api.NotRunFalse
	case s.startedOther.full(), forgotten:
		return api.NotRunUnknown
	}
	return api.NotRunTrue
}

// NearKeyLimit reports whether a key set of this incarnation has reached half of
// MaxKeys, so that the agent should start a new incarnation.
func (s *Store) NearKeyLimit() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.startedNonIdempotent.nearLimit() || s.startedOther.nearLimit() || s.fenced.nearLimit()
}

// NextIncarnation starts a new incarnation. The keys of the incarnation that ends
// are kept until the next call, and those of the one before it are dropped. The
// agent must start to refuse requests that name the dropped incarnation before it
// calls NextIncarnation.
func (s *Store) NextIncarnation() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.incarnationsEnded++
	s.startedNonIdempotent.rotate()
	s.startedOther.rotate()
	s.fenced.rotate()
}

// recordStart stores the key of a started run for the whole incarnation.
func (s *Store) recordStart(r *Run) {
	set := s.startedOther
	if r.nonIdempotent {
		set = s.startedNonIdempotent
	}
	if r.key == "" || set.has(r.key) || (!r.nonIdempotent && set.full()) {
		return
	}
	set.add(r.key)
	r.startRecorded = true
}

// unrecordStart undoes recordStart when the endpoint proves that it did not start
// the run.
func (s *Store) unrecordStart(r *Run) {
	if !r.startRecorded {
		return
	}
	s.startedNonIdempotent.remove(r.key)
	s.startedOther.remove(r.key)
}

// correctNotRunLocked corrects a refusal of this attempt that says "not run" although
// an earlier attempt of the key ran or may have run. The caller holds s.mu.
func (s *Store) correctNotRunLocked(key string, nonIdempotent bool, refusal *api.Refusal) *api.Refusal {
	notRun := s.notRun(key, nonIdempotent)
	if key == "" || refusal.NotRun != api.NotRunTrue || notRun == api.NotRunTrue {
		return refusal
	}
	corrected := *refusal
	corrected.NotRun = notRun
	return &corrected
}

func (s *Store) correctNotRun(key string, nonIdempotent bool, refusal *api.Refusal) *api.Refusal {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.correctNotRunLocked(key, nonIdempotent, refusal)
}

// drop removes a run from the store; readers attached to it can read on.
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

// Undelivered returns the number of kept results that no reader has passed on yet.
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

// Bytes returns the memory of the runs that are kept by key, in bytes.
func (s *Store) Bytes() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.bytes
}
