// Package deployment starts a whole deployment in one process, made of the
// stand-ins, agents and entry instances, for the demo, the experiments and the
// tests. A Fabric decides whether it runs over real loopback sockets or in
// memory, where it works under testing/synctest.
package deployment
