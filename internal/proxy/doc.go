// Package proxy carries calls: from a caller to the entry node, from there to
// the destination node beside a backend server, and to that backend server.
//
// Entry serves callers, and the backend servers of its own VM on a loopback
// listener. It matches a call to its class of work, picks an endpoint, and
// sends the call to the node beside it, again to another endpoint where that
// is safe. Destination serves calls from other nodes. It refuses what its
// backend server must not run, and forwards the rest. When the entry node
// picks an endpoint on its own VM, it calls Destination in process.
//
// The package decides nothing about endpoints, limits, retries, claims or
// quarantine. Those decisions are interfaces (see policy.go), and the packages
// route, limit, retry, once and quarantine make them.
//
// Whether a call was not run is decided in notrun.go alone.
package proxy
