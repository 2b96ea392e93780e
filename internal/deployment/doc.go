// Package deployment starts a whole deployment in one process, made of the
// stand-ins, agents and entry instances, for the demo, the experiments and the
// tests. Its Fabric connects them over loopback sockets or in memory; in memory
// it works under testing/synctest.
package deployment
