// Package proxy forwards calls from a caller to the entry node, from there to the
// destination node on the backend server's VM, and on to that backend server.
//
// Entry serves callers, and the backend servers of its own VM on a loopback
// listener. It matches a call to its class of work, picks an endpoint, and
// forwards the call to that endpoint's node. It retries at another endpoint where
// that is safe. Destination serves calls from other nodes. It refuses calls that
// its backend server must not run, and forwards the rest. When the entry node
// picks an endpoint on its own VM, it calls Destination in process.
//
// The package itself contains no policy for endpoints, limits, retries, claims or
// quarantine. Those policies are interfaces (see policy.go), which the packages
// route, limit, retry, once and quarantine implement.
//
// Only notrun.go decides that a call was not run.
package proxy
