// Package e2e holds the tests that run the programs as separate processes on
// the loopback address and stop them with real signals; TestSoak also disturbs
// what is between them. The package is made of tests only.
package e2e
