// Package controlclient sends operations of package controlapi to control. It
// holds a link to every control member and finds the leader among them.
//
// A call that is refused because the member does not lead, whose link is lost,
// or that gets no response for 500 ms is sent again to another member until its
// deadline. Every operation is safe to send again.
package controlclient
