// Package swapexperiment measures what a swap policy costs and gives: the time
// in which trainers wait for samples against the staleness of what they get,
// while weights change under load on a deployment of stand-ins in memory.
package swapexperiment
