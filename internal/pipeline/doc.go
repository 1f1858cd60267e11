// Package pipeline serves HTTP/1.1 to clients that send requests before the
// earlier ones on the same connection were answered.
//
// The server of net/http reads the next request only after the answer to the one
// before, so a short request waits behind a long one. This one reads ahead: it
// hands requests that may run at any time to the handler at once, and sends the
// answers in the order of the requests. Parsing is that of net/http.
//
// A request is read ahead only if CanPipeline says so. A client takes everything behind
// an answer that closes the connection for unread and sends it again, so a request
// that must not run twice starts only when nothing is due before it. For the same
// reason a connection is closed only by the answer to the last request that was
// read.
package pipeline
