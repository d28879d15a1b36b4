// Package consensus is a replicated log by leader election and quorum appends,
// as a pure step function: messages, proposals and ticks come in; messages to
// send, entries to sync and committed entries come out. It has no clock, socket,
// file or goroutine, so that tests run it in virtual time.
package consensus
