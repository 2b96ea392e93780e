// Package racelimit sets GOMAXPROCS to 1 for tests that run testing/synctest under
// the race detector. With several processors, the detector itself sometimes
// crashes while the timers of one bubble run ("ThreadSanitizer: CHECK failed:
// tsan_rtl.cpp:282", seen with go1.26.8). Data races are found on one processor
// too, since the detector tracks the happens-before relation. Import the package
// for its side effect in a _test.go file.
package racelimit
