// Package link connects two processes over one TCP connection with a yamux
// session of two streams: one for control frames and one for data frames, so
// that large bodies do not delay heartbeats.
//
// Each link is a supervisor of a sender and a receiver for each stream, and of a
// duty that closes the session when the link is cancelled. They end together. A
// link that has received nothing for Options.SilenceTimeout is closed, because
// an open TCP connection can permanently stop delivering data while new
// connections work.
package link
