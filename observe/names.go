package observe

// Name names a counter, gauge or histogram in /debug/vars. Names are in lower
// case with underscores. Every name is declared in this file, each with a
// comment that gives its kind, its unit and what it counts.
type Name string

// Counters by row and reason; see Counters.Refusal and Counters.Retry.
const (
	// NameRefusals counts refusals by row and reason code.
	NameRefusals Name = "refusals"
	// NameRetries counts retries of calls by row and reason.
	NameRetries Name = "retries"
)

// Gauges of every process.
const (
	// NameBuild is a gauge: the id of the running program, see package buildid; a text.
	NameBuild Name = "build"
	// NameUptime is a gauge: seconds since the process created its Counters.
	NameUptime Name = "uptime_seconds"
	// NameGoroutines is a gauge: current number of goroutines.
	NameGoroutines Name = "goroutines"
	// NameHeap is a gauge: bytes of live and not yet collected heap objects.
	NameHeap Name = "heap_bytes"
	// NameDroppedRows is a gauge: number of events counted under RowOther because
	// their counter already held the maximum of rows.
	NameDroppedRows Name = "rows_counted_as_other"
	// NameDroppedLines is a gauge: log lines dropped because of the rate limit or a
	// stalled output.
	NameDroppedLines Name = "log_lines_dropped"
)

// Measures of an agent.
const (
	// NameQueueWait is a histogram by row: seconds from a run's arrival at an
	// agent to its start on the endpoint.
	NameQueueWait Name = "agent_queue_wait_seconds"
	// NameRunTime is a histogram by row: seconds from a run's start on the
	// endpoint until it finishes.
	NameRunTime Name = "agent_run_seconds"
	// NameOrders counts requests to an engine to load weights; the row is empty.
	NameOrders Name = "agent_orders"
	// NameOrdersFailed counts requests to load weights that failed or whose replies
	// were lost; the row is empty.
	NameOrdersFailed Name = "agent_orders_failed"
	// NamePreempted counts running samples, by row, that were preempted by
	// interactive requests.
	NamePreempted Name = "agent_preempted"
	// NameAgent is a gauge: the agent's report (queue depths by row, slots, current
	// weight versions), the phase of each model, the table's version and the bytes
	// of kept results.
	NameAgent Name = "agent"
)

// Measures of an entry.
const (
	// NameWastedTokens counts generated tokens, by row, that are in no answer: those
	// of runs that were moved to another engine, overtaken by a newer run, or stale.
	NameWastedTokens Name = "entry_wasted_tokens"
	// NameCallTime is a histogram by row: seconds from the admission of an
	// interactive request or service call to its answer or refusal.
	NameCallTime Name = "entry_call_seconds"
	// NameStepTime is a histogram by row: duration in seconds of one session of a
	// trainer's step at this entry.
	NameStepTime Name = "entry_step_seconds"
	// NameSamples counts the samples written to trainers, by row.
	NameSamples Name = "entry_samples"
	// NameTokens counts the tokens of answers and samples written, by row.
	NameTokens Name = "entry_tokens"
	// NameEntry is a gauge: the current table version and its age, the watched
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
	// NameBatchOverloads counts, by service, how often an engine's queue began to hold
	// more groups than can be done in time.
	NameBatchOverloads Name = "batch_overloads"
	// NameItemsMoved counts, by reason, the items that an agent handed over to others.
	NameItemsMoved Name = "batch_items_moved"
	// NameItemsIdle counts, by the reason for which they wait, the items that an agent found to have been at
	// no engine for seconds, every few seconds of an item once.
	NameItemsIdle Name = "batch_items_idle"
	// NamePaceWritten counts the writes of an engine's pace; the row is empty.
	NamePaceWritten Name = "pace_written"
	// NameBatchGroupsDeferred counts, by route, the groups held by an agent that were deferred by the
	// selection of all engines, each once.
	NameBatchGroupsDeferred Name = "batch_groups_deferred"
)

// Measures of reward calls.
const (
	// NameRewardWait is a histogram by route: seconds that a reward call waited in
	// its agent's queue before it was sent.
	NameRewardWait Name = "reward_wait_seconds"
)

// Measures of forwarded requests.
const (
	// NameForward is a histogram by route: seconds from a request's arrival until
	// its answer is complete.
	NameForward Name = "forward_seconds"
)

const (
	// NameForwardRefusals counts forwarded requests that this system answered itself
	// instead of the endpoint, by reason.
	NameForwardRefusals Name = "forward_refusals"
)

// Measures of admission to services that have a gate.
const (
	// NameGateAdmitted counts sends that were admitted to an endpoint, by service.
	NameGateAdmitted Name = "gate_admitted"
	// NameGateQueued counts the admitted sends that had to wait for it, by service.
	NameGateQueued Name = "gate_queued"
	// NameGateRefused counts requests that were not admitted, by the rank of the request and the
	// reason.
	NameGateRefused Name = "gate_refused"
	// NameGateWait is a histogram by service: seconds that admitted sends waited.
	NameGateWait Name = "gate_wait_seconds"
	// NameSecondSendsDenied counts hedges, retries after a failure and resumed streams that
	// were not made because of the budget or because requests waited, by reason of the send.
	NameSecondSendsDenied Name = "second_sends_denied"
	// NameGates is a gauge: the state of the gate of each service, and the bytes held for
	// clients.
	NameGates Name = "gates"
)

const (
	// NameForwardBroken counts sends of forwarded requests that endpoints broke off
	// without an answer, by whether the endpoint crashed.
	NameForwardBroken Name = "forward_broken_sends"
)

const (
	// NameQuarantine counts events of the quarantine of request contents under which
	// endpoints crashed, by event.
	NameQuarantine Name = "quarantine_events"
)

const (
	// NameIngressRefusals counts requests refused at the ingress, before they were
	// forwarded, by reason.
	NameIngressRefusals Name = "ingress_refusals"
)

const (
	// NameStoreSent counts the request bytes (target and body, without headers) of
	// answered calls to the platform's store, by table.
	NameStoreSent Name = "store_sent_bytes"
	// NameStoreReceived counts the response bytes of answered store calls, by table.
	NameStoreReceived Name = "store_received_bytes"
	// NameStoreCalls counts answered store calls, by table.
	NameStoreCalls Name = "store_calls"
	// NameStoreRelayed counts the store calls that an agent relayed for this process
	// while it could not reach the store itself.
	NameStoreRelayed Name = "store_detours"
)
