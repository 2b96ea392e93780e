// Package proof holds end-to-end fault tests of request serving and of weight
// updates: stateful fuzz tests and focused failure scenarios that run whole
// deployments in memory and check the outcome against the stand-ins' records.
// docs/PROOFS.md lists what each test proves and which faults made it fail.
// The package has no code outside its tests.
package proof
