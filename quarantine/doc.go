// Package quarantine keeps requests that end the endpoints which run them away
// from further endpoints.
//
// Its unit is a content, named by a Subject: what a request asks for and who asks,
// whatever its id. A history holds under which runs of a content endpoints ended, and
// judges how it may be sent; it has no clock and no network. A Tracker is one process's
// part: it is told of broken and answered runs, asks a Prober whether an endpoint has
// ended, writes ends to the store (outbox), follows what other processes write, and
// claims trials. Processes without a common store tell each other News.
package quarantine
