// Package swapexperiment measures the trade-off of each swap policy: the time in which trainers
// wait for samples against the staleness of the delivered samples, while new weights are published
// under load to an in-memory deployment of stand-ins.
package swapexperiment
