package quarantine

// Evidence is what a destination node observed about its backend server after a connection to it
// broke.
type Evidence struct {
	// Broken means that a connection broke while a request was in flight.
	Broken bool
	// ConnectRefused means that a new connection was refused, so no process is listening.
	ConnectRefused bool
	// Restarted means that the backend server announced itself again with another incarnation.
	Restarted bool
	// Leaving means that the backend server had announced that it drains, or had withdrawn. A
	// planned stop that exceeds its time limit is not a crash.
	Leaving bool
}

// IsCrash reports whether the evidence shows a crash.
//
// A broken connection while new ones succeed is a reset: by the network, by an idle timeout, or by
// the backend server dropping one request. Treating it as a crash would make suspects of all
// requests in flight whenever a middlebox drops a connection.
func (e Evidence) IsCrash() bool {
	return e.Broken && !e.Leaving && (e.ConnectRefused || e.Restarted)
}
