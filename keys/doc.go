// Package keys gives our processes the certificates by which they prove to
// each other who they are: a development authority that issues them, their PEM
// files, and a Source of TLS settings that follows those files, so that keys
// and authorities are replaced without a restart.
//
// A process is named by the URI "mulberry:<id>" in its certificate's subject
// alternative names or, for certificates of other authorities, by their first
// DNS name. Names of hosts and IP numbers prove nothing here: both sides of
// every connection check the authority's signature and read the peer's id.
package keys
