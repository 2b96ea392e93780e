package observe

// Name names a counter, gauge or histogram in /debug/vars. Names are in lower
// case with underscores. Every name is declared in this file, each with a
// comment that gives its kind, its unit and what it counts.
type Name string

// Counters that are kept by row and reason; see Counters.Refusal and Counters.Retry.
const (
	// NameRefusals counts refusals by row and reason code.
	NameRefusals Name = "refusals"
	// NameRetries counts repeats of a call by row and reason.
	NameRetries Name = "retries"
)

// Gauges of every process.
const (
	// NameUptime is a gauge: seconds since the process's counters were made.
	NameUptime Name = "uptime_seconds"
	// NameGoroutines is a gauge: goroutines that exist now.
	NameGoroutines Name = "goroutines"
	// NameHeap is a gauge: bytes of live and not yet collected heap objects.
	NameHeap Name = "heap_bytes"
	// NameDroppedRows is a gauge: row names that were counted as "other"
	// because there were too many of them.
	NameDroppedRows Name = "rows_counted_as_other"
	// NameDroppedLines is a gauge: log lines lost to the budget or to a stalled reader.
	NameDroppedLines Name = "log_lines_dropped"
)

// Measures of an agent.
const (
	// NameQueueWait is a histogram by row: seconds from a run's arrival at an
	// agent to its start on the endpoint.
	NameQueueWait Name = "agent_queue_wait_seconds"
	// NameRunTime is a histogram by row: seconds from a run's start on the
	// endpoint to its end.
	NameRunTime Name = "agent_run_seconds"
	// NameOrders counts orders to load weights; the row is empty.
	NameOrders Name = "agent_orders"
	// NameOrdersFailed counts orders that failed or whose replies were lost;
	// the row is empty.
	NameOrdersFailed Name = "agent_orders_failed"
	// NamePreempted counts running samples, by row, that made room for
	// interactive requests.
	NamePreempted Name = "agent_preempted"
	// NameAgent is a gauge: the agent's report (queue depths by row, slots,
	// versions in force), the phase of each model, the table's version and the
	// bytes of kept results.
	NameAgent Name = "agent"
)

// Measures of an entry.
const (
	// NameWastedTokens counts generated tokens, by row, that no answer holds:
	// those of runs that were moved, fell behind a newer run or were too old.
	NameWastedTokens Name = "entry_wasted_tokens"
	// NameCallTime is a histogram by row: seconds from the admission of an
	// interactive request or service call to its answer or refusal.
	NameCallTime Name = "entry_call_seconds"
	// NameStepTime is a histogram by row: seconds that one session of a
	// trainer's step took at this entry.
	NameStepTime Name = "entry_step_seconds"
	// NameSamples counts the samples written to trainers, by row.
	NameSamples Name = "entry_samples"
	// NameTokens counts the tokens of answers and samples written, by row.
	NameTokens Name = "entry_tokens"
	// NameEntry is a gauge: the table version in force and its age, the watched
	// agents by state, and the unfinished runs.
	NameEntry Name = "entry"
)

// Measures of batch jobs.
const (
	// NameAppend is a histogram by route: seconds from the sending of a batch
	// of results to the store's acknowledgement.
	NameAppend Name = "batch_append_seconds"
	// NameAccept is a histogram by route: seconds from the arrival of a batch
	// job to its acceptance.
	NameAccept Name = "batch_accept_seconds"
)

// Measures of reward calls.
const (
	// NameRewardWait is a histogram by route: seconds that a reward call waited
	// in its agent for its turn before it was sent.
	NameRewardWait Name = "reward_wait_seconds"
)

// Measures of forwarded requests.
const (
	// NameForward is a histogram by route: seconds from a request's arrival to
	// the end of its answer.
	NameForward Name = "forward_seconds"
)

const (
	// NameForwardRefusals counts forwarded requests that got an answer of our
	// own, by reason.
	NameForwardRefusals Name = "forward_refusals"
)

const (
	// NameForwardBroken counts sends of forwarded requests that endpoints broke
	// off, by what became of the endpoint.
	NameForwardBroken Name = "forward_broken_sends"
)

const (
	// NameQuarantine counts what became of contents under which endpoints ended, by
	// event.
	NameQuarantine Name = "quarantine_events"
)

const (
	// NameIngressRefusals counts requests that were refused before they were
	// forwarded, by reason.
	NameIngressRefusals Name = "ingress_refusals"
)

const (
	// NameStoreSent counts the bytes of targets and bodies that answered calls to
	// the platform's store sent, by table, without headers.
	NameStoreSent Name = "store_sent_bytes"
	// NameStoreReceived counts the bytes of those calls' answers.
	NameStoreReceived Name = "store_received_bytes"
	// NameStoreCalls counts those calls, by table.
	NameStoreCalls Name = "store_calls"
	// NameStoreRelayed counts the calls to the platform's store that an agent made
	// for this process, whose own path was lost.
	NameStoreRelayed Name = "store_detours"
)
