// Package trainer is the client library of trainers. It submits a step of
// rollout samples to any entry instance and receives each sample exactly once:
// when a connection breaks it asks the next entry for the samples that it does
// not hold yet. What it holds is the truth about delivery; nothing else keeps it.
package trainer
