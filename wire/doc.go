// Package wire holds the messages between the system's own processes. Each
// call is one transport stream: the caller sends one Request; the answer is
// one or more Reply messages, the last of which has Done, Refusal or another
// final field set. Messages are CBOR with integer keys; unknown keys are
// ignored, so that versions of the system can be mixed during a rolling restart.
package wire
