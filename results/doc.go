// Package results is an agent's memory of its runs by key: the running ones
// with their text so far, the finished ones for a while, and which keys may
// never start again. Any number of readers attach to a run, early or late.
//
// Within one incarnation of the agent:
//
//   - two runs of a key never go on at the same time, and a key whose run is
//     done does not run again while its result is kept;
//   - a non-idempotent key starts at most once, also after its result was
//     dropped: its hash stays for the whole incarnation;
//   - a key that was fenced before its start never starts.
//
// The store takes the time as an argument and starts no goroutine.
package results
