// Package link connects two processes over one TCP connection with a yamux
// session of two streams: one for control frames and one for data frames, so
// that large bodies do not delay heartbeats.
//
// Each link is a small supervisor of four duties, a sender and a receiver for
// each stream, which end together. A link that has received nothing for
// Options.SilenceTimeout is closed, because an open connection may stay silent
// for good while new ones work.
package link
