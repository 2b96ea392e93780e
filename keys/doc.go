// Package keys provides the certificates by which processes authenticate each other
// over mutual TLS: a development authority that issues them, their PEM files, and a
// Source of TLS settings that reloads those files, so that keys and authorities can
// be rotated without a restart.
//
// A process is identified by the URI "mulberry:<id>" in its certificate's subject
// alternative names or, for certificates of other authorities, by their first DNS
// name. Host names and IP numbers are not verified: both sides of every connection
// verify the authority's signature and read the peer's id.
package keys
