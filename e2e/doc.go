// Package e2e contains the tests that run the programs as separate processes on
// loopback addresses and stop them with real signals. TestSoak also injects
// network and store faults. The package contains only tests.
package e2e
