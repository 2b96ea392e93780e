// Package observe provides logs and metrics: logrus loggers with the same field
// names in every process, and counters, gauges and histograms that the operators'
// listener serves as expvar JSON.
package observe
