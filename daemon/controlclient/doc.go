// Package controlclient sends operations of package controlapi to the leader of
// the control members. It keeps a link to every member and finds the leader among
// them.
//
// A call is sent again, to another member, when the member is not the leader, when
// its link is lost, or when it does not respond within 500 ms. This goes on until
// the deadline of the call. Every operation is safe to repeat.
package controlclient
