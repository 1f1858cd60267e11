// Package config holds the mesh configuration: the objects that operators
// state, and the immutable Snapshot that every proxy acts on.
//
// A Snapshot is one whole version. It carries a number, its own hash and the
// hash of its parent, so two nodes that hold the same (number, hash) hold the
// same objects and the same history. A Delta turns a parent into its child and
// is only accepted when the result has the hash that the delta promises.
//
// The hash covers the raw bytes of each object rather than the decoded
// fields. A node that is older than the writer can therefore still verify and
// pass on a version with fields it does not know; whether it can run that
// version is decided by Compile, which refuses unknown fields.
//
// The package is pure: no sockets, no clock.
package config
