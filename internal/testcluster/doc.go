// Package testcluster starts the real programs as child processes of a test, on
// loopback addresses, and injects faults: signals, wiped data folders and a
// relay that cuts, delays or swallows traffic. Only tests use it.
package testcluster
