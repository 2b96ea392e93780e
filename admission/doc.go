// Package admission is an agent's queue before its endpoint, as a data
// structure without goroutines or clocks: callers pass the time in and guard
// the queue with their own lock.
//
// Engines admit requests as they arrive and know no priorities, so the queue
// lets no more than Slots requests through at once and decides their order:
//
//   - Interactive requests go before training requests. Training is not starved:
//     when training requests wait and none was started for TrainingMaxWait,
//     the next free slot goes to training.
//   - While interactive rows are active (a request within ActiveWindow), training
//     leaves Reserve slots free besides those that interactive requests use, so
//     that the next one does not wait for a long stream to end.
//   - Within a class, rows share by start-time fair queueing over expected
//     tokens, weighted by the row's share of the table; the expectation is
//     corrected by the true count when a request ends.
//   - Within a training row the longest expected work goes first, so that
//     stragglers start early; within an interactive row the oldest goes first.
//
// The queue is bounded by row, in requests and in bytes. A request whose
// deadline cannot be met is refused at once.
package admission
