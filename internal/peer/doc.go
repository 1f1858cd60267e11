// Package peer is the edge between nodes: a twirp server and client over kept
// HTTP connections, with or without mutual TLS.
//
// It checks who is speaking, bounds the size and the time of every message,
// counts the bytes that really cross the connections, and hands messages to
// the interfaces that the node wires in. It decides nothing else.
package peer
