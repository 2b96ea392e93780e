// Package wire defines the messages between the system's own processes. Each
// call is one transport stream: the caller sends one Request, and the answer is
// one or more Reply messages, the last of which has Done, Refusal or another
// final field set. Messages are CBOR with integer keys; unknown keys are
// ignored, so that different versions of the system can run together during a
// rolling restart.
package wire
