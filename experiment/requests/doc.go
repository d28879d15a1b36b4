// Package requests runs policy experiments on the request path in virtual time.
// It drives the same routing.Router and admission.Controller as the daemon; the
// network and the targets are models. A run with the same seed gives the same
// result.
package requests
