// Package trainer is the client library of trainers. It submits a step of
// rollout samples to any entry instance and receives each sample exactly once:
// when a connection breaks it asks the next entry for the samples that it has not
// received yet. The client's set of received samples is the only record of
// delivery.
package trainer
