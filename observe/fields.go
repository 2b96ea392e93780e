package observe

// Names of the fields of log lines. Log lines carry neither prompt or sample
// text nor key material.
const (
	FieldRequest      = "request" // id that the entry gave the request
	FieldRow          = "row"
	FieldTrainer      = "trainer" // the trainer's row
	FieldStep         = "step"    // a trainer's step, or the processing step of an error
	FieldSample       = "sample"
	FieldEngine       = "engine" // id of the agent beside the engine
	FieldZone         = "zone"
	FieldVersion      = "version" // of the table or of weights
	FieldPeer         = "peer"
	FieldJob          = "job"          // id of a batch job
	FieldOrganisation = "organisation" // name of the one that a request or job belongs to
	FieldItem         = "item"         // id of an item of a batch job
	// FieldContent is a digest that is the same for requests of the same content.
	FieldContent = "content"
	// FieldReward is the id of the call that scores an item's text.
	FieldReward = "reward"
)

// Fields that the repeat filter and daemons add.
const (
	FieldSuppressed = "suppressed" // repeats dropped since the last line like this one
	FieldProcess    = "process"    // id of the process that logs
)
