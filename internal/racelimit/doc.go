// Package racelimit keeps tests that run under testing/synctest and the race
// detector on one processor. With several, the detector itself crashes at times
// while the timers of one bubble run ("ThreadSanitizer: CHECK failed:
// tsan_rtl.cpp:282", seen with go1.26.8); data races are found all the same,
// since the detector goes by what happens before what. Import it for its effect
// in a _test.go file.
package racelimit
