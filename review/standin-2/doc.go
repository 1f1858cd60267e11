// Command standin-2 runs the cases of the second review: it starts real nodes as processes, with
// stand-ins for the platform's store, the endpoints and the clients in its own process.
package main
