// Package load is an open-loop load generator.
//
// Requests have intended send times that do not depend on the responses, and
// latency is measured from the intended time. Queueing in a slow system therefore
// shows in the latency instead of slowing the generator down.
//
// A pacer duty passes requests to sender duties through a bounded ring, and a
// collector duty owns the histograms.
package load
