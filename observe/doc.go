// Package observe is what a process shows of itself: logs by logrus with the
// same field names everywhere, and counters, gauges and histograms that an
// operators' listener serves as expvar JSON.
package observe
