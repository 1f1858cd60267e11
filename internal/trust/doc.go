// Package trust decides who gets in: mutual TLS between the nodes of a mesh,
// and TLS for the admin API, from files that the settings name.
//
// A node's certificate must chain to the mesh's own certificate authority and
// carry one URI name, marlpass://MESH/vm/ID. Host names and addresses play no
// part, since a VM's address is reused by the VM that replaces it.
//
// Files are read again when they change. A new certificate that cannot be used
// is refused with one log line, and the running one stays.
package trust
