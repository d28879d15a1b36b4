// Package load is an open-loop load generator.
//
// Requests have intended send times that do not depend on the answers, and
// latency counts from the intended time. A slow system therefore shows its
// queue in the latency instead of slowing the generator down.
//
// A pacer duty hands requests to sender duties through a bounded ring, and a
// collector duty owns the histograms.
package load
