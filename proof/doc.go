// Package proof holds the proofs of the request side: a stateful fuzz test and
// focused tests of failures over whole deployments in memory, checked against
// what the stand-ins recorded. docs/PROOFS.md lists what each test proves and
// how it was seen to fail. It has no code outside its tests.
package proof
