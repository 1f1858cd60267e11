// Package control measures the control side of a mesh of real nodes on
// loopback: how soon every accepted version is in force everywhere and at what
// cost, how a herd of restarted nodes comes back, and what goes on while data
// centres are parted. It watches each node from outside and counts every step
// back and every version that is not whole.
package control
