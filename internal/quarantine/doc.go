// Package quarantine finds the requests that crash backend servers and keeps
// them from running.
//
// A destination node notes what is in flight at each backend server. When one
// crashes, the requests in flight are suspects. A suspect runs isolated: all
// nodes send it to the one endpoint that its fingerprint chooses, and that
// endpoint runs one suspect at a time. A suspect that is answered is cleared; a
// suspect in flight at a second crash is quarantined, which means refused as
// not run until an expiry or until an operator lifts it.
//
// What a node finds spreads as notices in its membership record, and Crashed
// returns those that should be told to the other nodes at once.
//
// docs/design/poison.md gives the reasons, the assumptions and the figures.
package quarantine
