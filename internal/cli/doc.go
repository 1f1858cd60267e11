// Package cli is the operators' command line, a client of the admin API.
//
// Several servers may be named; they are tried in turn. A write keeps its
// command id over all of them, so it takes effect once however often it is
// sent. When an answer is lost the write is not guessed to have failed: the
// package asks for the command's record, and when that can't tell either it
// reports the outcome as unknown with the id to ask by.
package cli
