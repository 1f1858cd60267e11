// Package capacity works out what marlpass costs at a size that one machine
// cannot run. It measures real nodes on loopback and their parts at several
// small sizes, fits lines to the figures, and evaluates them at the size that
// decides the design. docs/CAPACITY.md is its result.
//
// A line is only as good as its model. Each line therefore names the mechanism
// that carries it, and the report shows how far the line misses the points it
// was fitted to and a point that it was not fitted to.
package capacity
