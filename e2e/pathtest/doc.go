// Package pathtest holds the tests of the request path over real processes.
package pathtest
