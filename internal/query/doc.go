// Package query holds the read models of the mesh: what operators list,
// compare and read at handover.
//
// Each model is a plain struct that encodes to JSON, and a pure function that
// builds it from what a node holds: its snapshot, its view of the membership,
// its meters, and the platform's log. The clock is passed in. Nothing here
// changes state; package command does that.
package query
