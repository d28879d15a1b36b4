// Package consensus implements the Raft consensus algorithm as a pure step
// function. Messages, proposals and clock ticks go in; messages to send, entries
// to sync and committed entries to apply come out. It uses no clock, socket, file
// or goroutine, so that tests run it in virtual time.
package consensus
