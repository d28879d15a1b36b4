// Package crowd tests that a process survives a crowd of clients that keep to no
// rules: it lives, it stays within its memory and its descriptors, and it answers an
// ordinary request. The tests lower the limits of a process so that a small crowd is
// enough, and check nothing that depends on the speed of the machine.
package crowd
