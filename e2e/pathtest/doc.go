// Package pathtest tests the request path with the real programs as separate
// processes.
package pathtest
