// Package backend is a stand-in for a backend server: it runs requests in a
// fixed number of slots, takes a stated time for each, starts cold, drains,
// sheds load, and can be told to crash, fail, fall silent, slow down or report
// a stale load. Each answer names the request that it belongs to and carries a
// checksum, and each run is counted by the identity of its request, so that a
// test sees lost, doubled, partial and mixed-up answers.
package backend
