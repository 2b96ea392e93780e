// Package results stores an agent's runs by key: running runs with the text
// generated so far, finished runs for their retention time, and the keys that
// must never start again. Any number of readers can attach to a run at any time.
//
// Within one incarnation of the agent:
//
//   - two runs of a key never execute at the same time, and a key whose run is
//     done does not run again while its result is kept;
//   - a non-idempotent key starts at most once, even after its result was
//     dropped: its hash is kept for the whole incarnation;
//   - a key that was fenced before it started never starts.
//
// The store takes the current time as an argument and starts no goroutines.
package results
