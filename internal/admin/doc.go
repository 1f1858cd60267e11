// Package admin is the operators' edge of a node: the ogen API of api/admin.yaml
// over two interfaces, Commander for what changes state and Reader for what
// reads it.
//
// The package authenticates the operator, bounds what comes in, and turns
// outcomes and errors into responses. It decides nothing about configuration.
//
// A write ends in one of three ways. Accepted is 200 or 201 with the version.
// Refused is a problem document, and means that the request changed nothing.
// Unknown is 202 with the id of the command: the platform's answer was lost, and
// only the command's record can tell. The errors of this package promise that
// nothing was changed; any other error of a Commander is told as unknown.
package admin
