package observe

// Names of the fields of log lines. Log lines carry neither prompt or sample
// text nor key material.
const (
	FieldRequest      = "request" // id that the entry assigned to the request
	FieldRow          = "row"
	FieldTrainer      = "trainer" // the trainer's row
	FieldStep         = "step"    // a trainer's step, or the processing step of an error
	FieldSample       = "sample"
	FieldEngine       = "engine" // id of the agent beside the engine
	FieldZone         = "zone"
	FieldVersion      = "version" // of the table or of weights
	FieldPeer         = "peer"
	FieldJob          = "job"          // id of a batch job
	FieldOrganisation = "organisation" // name of the organisation that owns the request or job
	FieldItem         = "item"         // id of an item of a batch job
	// FieldContent is a digest of a request's content; equal contents have equal digests.
	FieldContent = "content"
	// FieldReward is the id of the reward call that scores an item's text.
	FieldReward = "reward"
)

// Messages of the log lines about decisions under overload; package logstory explains them.
const (
	// MessageNotAdmitted is logged for a request that a gate has not admitted.
	MessageNotAdmitted = "request not admitted"
	// MessageGroupsDeferred is logged for a batch job when the number of its groups that are
	// deferred, because they cannot be done in time, changes.
	MessageGroupsDeferred = "groups deferred"
)

// Fields of the log lines about decisions under overload.
const (
	FieldService    = "service"
	FieldRank       = "rank" // 0 is the highest
	FieldReason     = "reason"
	FieldWaiting    = "waiting"        // requests that wait at the process
	FieldRate       = "rate"           // requests a second that the process's windows allow
	FieldRetryAfter = "retry_after_ms" // time after which the client is told to return
	FieldGroups     = "groups"         // groups of a job
	FieldWanted     = "wanted"         // groups that the job's trainer waits for
	FieldDeferred   = "deferred"       // groups of a job that are deferred
	FieldDueIn      = "due_in_ms"      // time left until a job is due
	FieldWork       = "work_ms"        // slot time of a job's groups and those that go before them
	FieldCapacity   = "capacity_ms"    // slot time that the engines have until a job is due
)

// Fields added by the repeat filter and by daemons.
const (
	FieldSuppressed = "suppressed" // identical lines dropped since the last one that was written
	FieldProcess    = "process"    // id of the process that writes the line
	FieldBuild      = "build"      // id of the program, see package buildid
)
