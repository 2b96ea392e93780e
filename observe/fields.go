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

// Fields added by the repeat filter and by daemons.
const (
	FieldSuppressed = "suppressed" // identical lines dropped since the last one that was written
	FieldProcess    = "process"    // id of the process that writes the line
)
