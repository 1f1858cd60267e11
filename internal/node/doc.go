// Package node wires one marlpass-node together: the proxy and its decisions,
// membership, the spreading of versions, the admin API and the announce API.
//
// A node starts in this order. All sockets are opened. Control starts: the
// membership makes first contact, and the node learns the newest version from
// its peers and the platform. Only when it holds at least what its peers saw it
// hold does it carry traffic; until then calls are refused as not run. A stop
// goes the other way: the node tells the mesh that it leaves, refuses new
// calls, lets those in flight finish up to a limit, and closes control last.
package node
