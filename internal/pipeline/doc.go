// Package pipeline is an HTTP/1.1 server with request pipelining: clients may send requests
// before earlier ones on the same connection are answered.
//
// The server of net/http reads the next request only after the previous response, so a short
// request waits behind a long one. This server reads ahead: it passes requests that may run at
// any time to the handler at once, and sends the responses in the order of the requests. Parsing
// is that of net/http.
//
// A request is handled ahead of its turn only if CanPipeline allows it. A client treats every
// request behind a response that closes the connection as unread and sends it again, so a request
// that must not run twice starts only when no earlier one is pending. For the same reason, only
// the response to the last request that was read closes a connection.
package pipeline
