// Package node wires one marlpass-node together: the proxy and its decisions,
// membership, the spreading of versions, the admin API and the announce API.
//
// A node starts in this order. All sockets are opened. Control starts: the
// membership makes first contact, and the node learns the newest version from
// its peers and the platform. Only when it holds at least what its peers saw it
// hold does it carry traffic; until then calls wait for a moment, or are refused as
// not run. A stop goes the other way: the node tells the mesh that it leaves, refuses
// new calls, lets those in flight finish up to a limit, and closes control last.
//
// The files by their job:
//
//   - one node's life: node, start, refresh, stop, parts, reload, control_cpu;
//   - sockets and servers: listeners, servers, inflight, trust;
//   - calls: callpath, program, split, gates, backends, discover, dedup, pickers,
//     sizes, retries, policies, suspects;
//   - control: control, peers, rejecting_submitter, maintenance,
//     maintenance_figures;
//   - what operators ask for: reader, observe, report, report_wire, handover,
//     handover_findings, handover_quarantine;
//   - metrics and logs: metrics, metrics_calls, metrics_control, counters, view_log.
package node
