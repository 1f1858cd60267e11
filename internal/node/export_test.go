package node

// BreakListener closes the socket for callers under the node's feet.
func BreakListener(n *Node) { n.ln.callers.Close() }
