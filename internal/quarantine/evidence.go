package quarantine

// Evidence is what a destination node saw of its backend server after a
// connection to it broke.
type Evidence struct {
	// Broken says that a connection broke while a request was in flight.
	Broken bool
	// ConnectRefused says that a new connection was refused, so that no
	// process listens any more.
	ConnectRefused bool
	// Restarted says that the backend server announced itself anew, under
	// another incarnation.
	Restarted bool
	// Leaving says that the backend server had announced that it drains or
	// had withdrawn: a planned stop that ran out of time is no crash.
	Leaving bool
}

// IsCrash reports whether the evidence is that of a crash.
//
// A connection that breaks while new ones work is a reset: the network, an idle
// timeout or the backend server dropping one request. Taking it for a crash
// would make suspects of everything in flight each time a middlebox forgets a
// connection.
func (e Evidence) IsCrash() bool {
	return e.Broken && !e.Leaving && (e.ConnectRefused || e.Restarted)
}
