// Package testcluster starts the real programs as child processes of a test, on
// loopback addresses, and injects faults: signals, deleted data folders, and
// relays that close connections, delay traffic or drop it. Only tests use it.
package testcluster
