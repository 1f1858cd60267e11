// Package peer carries messages between nodes: a twirp server and client over
// keep-alive HTTP connections, with or without mutual TLS.
//
// It authenticates senders, bounds the size and the time of every message,
// counts the bytes on the connections, and passes messages to the interfaces
// that the node supplies.
package peer
