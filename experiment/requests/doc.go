// Package requests compares routing policies on the request path by
// discrete-event simulation. It drives the same routing.Router and
// admission.Controller as the daemon; the network and the targets are models. A
// run is deterministic for a given seed.
package requests
