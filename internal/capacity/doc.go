// Package capacity works out what each role of the system costs at the size
// that it is designed for, from slopes that benchmarks have measured, and
// compares it with the budget of a node. The slopes stand in slopes.yaml.
package capacity
