// Package admission implements the queue of an agent in front of its endpoint, as
// a data structure without goroutines or clocks: callers pass in the time and guard
// the queue with their own lock.
//
// Engines admit requests in order of arrival and have no priorities, so the queue
// lets at most Slots requests run at once and decides their order:
//
//   - Interactive requests go before training requests. Training is not starved:
//     when training requests wait and none has started for TrainingMaxWait, the
//     next free slot goes to training.
//   - While interactive rows are active (a request within ActiveWindow), training
//     leaves Reserve slots free besides those that interactive requests use, so
//     that the next one does not wait for a long stream to complete.
//   - Within a class, rows are served by start-time fair queueing over expected
//     tokens, weighted by the row's share in the table; the expected count is
//     replaced by the actual one when a request completes.
//   - Within a training row the longest expected work goes first, so that
//     stragglers start early; within an interactive row the oldest goes first.
//
// The queue is bounded per row, and in total requests and bytes. A request whose
// deadline cannot be met is refused on arrival.
package admission
