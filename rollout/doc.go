// Package rollout runs the samples of one trainer step: it places each sample
// on an agent, resumes it elsewhere with what was generated when its engine or
// agent fails, has it scored, and delivers it once to the trainer's
// connection. It keeps nothing after the step: the trainer's next request
// names the samples still wanted.
package rollout
