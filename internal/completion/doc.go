// Package completion estimates how long calls run at backend servers whose VMs slow them down.
//
// A backend server may state its present slowdown with each answer: by which factor work takes
// longer on its VM than usual. The node beside it keeps that figure and the usual run time of each
// class (Server), declines offers of calls that would run too slowly (Server.Declines), and reports
// both with its answers (Run). An entry node compares the reports of the endpoints of a service
// (Estimator). Where no figure is stated, nothing is kept and nothing is decided.
package completion
