package platform

import "fmt"

// Table rows, by key:
//
//	head                 the newest accepted version (command.Head)
//	log/NNNN...          one config.Delta per accepted version
//	command/ID           the outcome of an operator's command
//	lease/NAME           a lease with its fencing token
//	once/CLASS/KEY       the claim and outcome of a keyed request
//	contact/DC/VM        an address to make first contact with
//	departure/VM/NAME    a backend server that has said that it leaves
//	rollout/SERVICE      how the rollout of a service's version stands
//	status/NAME          what operators read of the mesh
const (
	HeadKey         = "head"
	LogPrefix       = "log/"
	CommandPrefix   = "command/"
	LeasePrefix     = "lease/"
	OncePrefix      = "once/"
	ContactPrefix   = "contact/"
	DeparturePrefix = "departure/"
	RolloutPrefix   = "rollout/"
	StatusPrefix    = "status/"
)

// SnapshotPrefix begins the object names of snapshots; the hash follows.
const SnapshotPrefix = "snapshot/"

// LogKey returns the key of the log row of a version. The number is padded so
// that key order is version order.
func LogKey(number uint64) string { return fmt.Sprintf("%s%020d", LogPrefix, number) }
