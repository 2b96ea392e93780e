// Package capacity computes the cost of each role of the system at the size that
// it is designed for, from slopes fitted to benchmark results, and compares it
// with the budget of a node. The benchmark results are in slopes.yaml.
package capacity
