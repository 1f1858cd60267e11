package node

import (
	"math"
	"syscall"

	"github.com/marlpass/marlpass/internal/pipeline"
)

// capacity divides the process's memory and descriptors among those that use them, so that no crowd of
// clients takes what the mesh's own work needs.
type capacity struct {
	// Most open connections of each listener.
	callers, internal, calls, side int
	// Most open connections to other nodes and to backend servers.
	nodes, backends int
	requests        int64 // memory of requests in bytes
	spool           int64 // memory of answers that are buffered, in bytes; zero buffers none
}

const (
	// meshMemory is what a node takes without any client: the program, its view of a mesh of 1,200
	// nodes and the buffers of the control plane.
	meshMemory = 36 << 20
	// minClientMemory is left to clients on the smallest VMs.
	minClientMemory = 8 << 20
	// heapGrowth is how far the heap grows between two collections, as a multiple of what is live.
	heapGrowth = 1.5
	// programMemory is the part of the process's memory that the collector does not count: the
	// program's text and the runtime's own threads.
	programMemory = 20 << 20
	// defaultMemoryMB is assumed where the settings state no memory.
	defaultMemoryMB = 1024
	// spoolMemoryDivisor bounds buffered answers to a part of the process's memory.
	spoolMemoryDivisor = 8
	// connMemoryShare is the part of the clients' memory that connections may take.
	connMemoryShare = 0.5
)

// fileDescriptors is how many descriptors are left for files, pipes and sockets that are being closed.
const fileDescriptors = 200

// Shares of the sockets. The rest is for the store, peers, operators, and for connections of the side
// servers, which have a bound each.
const (
	callersShare   = 0.32
	internalShare  = 0.08
	callsShare     = 0.25
	nodesShare     = 0.15
	backendsShare  = 0.10
	sideShare      = 0.01
	minConnections = 8
)

// Shares of the memory of connections. Connections to other nodes and to backend servers serve requests,
// whose cost includes theirs.
const (
	callersMemoryShare  = 0.45
	internalMemoryShare = 0.10
	callsMemoryShare    = 0.45
)

// newCapacity divides memoryMB megabytes, zero if unknown, and a number of descriptors.
func newCapacity(memoryMB int, descriptors uint64) capacity {
	c := capacity{spool: int64(memoryMB) << 20 / spoolMemoryDivisor}
	if memoryMB == 0 {
		memoryMB = defaultMemoryMB
	}
	clients := max(float64(int64(memoryMB)<<20-meshMemory-c.spool)/heapGrowth, minClientMemory)
	conns := clients * connMemoryShare
	c.requests = int64(clients - conns)
	sockets := float64(min(descriptors, math.MaxInt32)) - fileDescriptors
	part := func(socketShare, memoryShare float64) int {
		return max(int(min(sockets*socketShare, conns*memoryShare/pipeline.ConnMemory)), minConnections)
	}
	c.callers = part(callersShare, callersMemoryShare)
	c.internal = part(internalShare, internalMemoryShare)
	c.calls = part(callsShare, callsMemoryShare)
	c.nodes = part(nodesShare, math.Inf(1))
	c.backends = part(backendsShare, math.Inf(1))
	c.side = part(sideShare, math.Inf(1))
	return c
}

// descriptorLimit returns how many descriptors the process may have: the stated number, unless that is
// zero, and at most the system's limit.
func descriptorLimit(stated int) uint64 {
	limit := uint64(math.MaxInt32)
	var l syscall.Rlimit
	if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &l) == nil {
		limit = uint64(l.Cur)
	}
	if stated > 0 {
		limit = min(limit, uint64(stated))
	}
	return limit
}

// HeapLimit returns the soft limit for the garbage collector of a process with memoryMB megabytes, in
// bytes.
func HeapLimit(memoryMB int) int64 {
	return max(int64(memoryMB)<<20-programMemory, minClientMemory)
}
