// Package quarantine identifies requests that crash backend servers and stops them from running.
//
// A destination node records the requests in flight at each backend server. When one crashes, the
// requests in flight become suspects. A suspect runs isolated: all nodes send it to the one
// endpoint selected by its fingerprint, and that endpoint runs one suspect at a time. A suspect
// that is answered is cleared. A suspect in flight at a second crash is quarantined, that is,
// refused as not run until it expires or an operator lifts it.
//
// A node's findings spread as notices in its membership record. Crashed returns those to send to
// other nodes at once.
//
// docs/design/poison.md gives the reasons, the assumptions and the figures.
package quarantine
