package capacity

// The size that decides the design.
const (
	sizeNodes       = 1200
	sizeServices    = services
	sizeTargets     = targets
	sizeCalls       = 110_000.0 // a second
	sizeDepth       = 15
	sizeChanges     = 930.0 // a day
	sizeCentres     = 5
	sizeReplaced    = 350.0 // VMs a day
	sizeRack        = 24    // VMs; taken, the users name no number
	secondsPerDay   = 86_400.0
	endpointsEach   = sizeNodes / sizeServices // of one service, rounded down
	nodesPerCentre  = sizeNodes / sizeCentres
	centresInRegion = 3 // of the larger region
)

// Limits and goals at that size.
const (
	limitBytes   = 10_000.0 // a second a node
	goalBytes    = 2_000.0
	limitCPU     = 1.6 // percent of a core
	goalCPU      = 0.5
	limitMemory  = 128.0 // MB
	goalMemory   = 64.0
	limitForce   = 13_000.0 // ms
	goalForce    = 3_000.0  // profile time
	goalForceB   = 8_000.0  // profile bytes
	platformRead = 2_000.0  // a second that the platform answers
	goalReads    = 0.05 * platformRead
	limitAdded   = 1_600.0 // µs added to a call for 99 in 100
	platformWrit = 300.0   // a second, the least that "several hundred" means
)

const mb = 1e6
