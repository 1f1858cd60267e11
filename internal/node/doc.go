// Package node wires one marlpass-node together: the proxy and its decisions, membership, the
// distribution of versions, the admin API and the announce API.
//
// A node starts in this order. It opens all sockets. The control plane starts: the membership
// joins the mesh, and the node gets the newest version from its peers and the platform. The node
// takes calls only when its version is at least the one that its peers last saw it hold; until
// then calls wait briefly or are refused as not run. A stop reverses the order: the node
// announces that it leaves, refuses new calls, drains those in flight up to a limit, and closes
// the control plane last.
//
// The files by purpose:
//
//   - life cycle: node, start, refresh, stop, parts, reload, control_cpu;
//   - sockets and servers: listeners, servers, inflight, trust;
//   - calls: callpath, program, split, gates, backends, discover, dedup, pickers,
//     sizes, retries, policies, suspects;
//   - control plane: control, peers, rejecting_submitter, maintenance,
//     maintenance_stats;
//   - operators' queries: reader, observe, report, report_wire, handover,
//     handover_findings, handover_quarantine;
//   - metrics and logs: metrics, metrics_calls, metrics_control, counters, view_log.
package node
