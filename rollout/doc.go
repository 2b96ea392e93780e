// Package rollout runs the samples of one trainer step. It places each sample on
// an agent, resumes it on another agent from the text generated so far when its
// engine or agent fails, has it scored, and delivers it once to the trainer's
// connection. It keeps no state after the step: the trainer's next request names
// the samples that are still missing.
package rollout
