// Package tcplisten opens listening TCP sockets that bound what the kernel holds for
// their connections. Without a bound, a connection holds more than 100 KiB from the
// start and several MiB once it has carried data, and all of it counts towards the
// memory of the process.
package tcplisten

import (
	"context"
	"net"
	"syscall"

	"github.com/zeebo/errs"
)

// Error is the class of all errors of this package.
var Error = errs.Class("tcplisten")

// Options bound a listener and each of its connections. A bound of 0 is left to the
// system.
type Options struct {
	ReceiveBytes int // received and not yet read, of one connection
	SendBytes    int // sent and not yet acknowledged, of one connection
	Backlog      int // connections that the process has not accepted yet
}

// bufferFactor is by how much the kernel enlarges a buffer size that it is given, for
// its own records of the data.
const bufferFactor = 2

// Listen opens a listener on the address. The bounds hold for a connection before it is
// accepted, because its socket takes them over from the listener.
func Listen(address string, o Options) (net.Listener, error) {
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) { o.setBuffers(int(fd)) })
	}}
	listener, err := config.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	o.setBacklog(listener)
	return listener, nil
}

// setBuffers ignores errors: a system that does not take the sizes has bounds of its
// own, and a process that does not start serves nobody.
func (o Options) setBuffers(fd int) {
	if o.ReceiveBytes > 0 {
		_ = syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_RCVBUF, o.ReceiveBytes/bufferFactor)
	}
	if o.SendBytes > 0 {
		_ = syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_SNDBUF, o.SendBytes/bufferFactor)
	}
}

// setBacklog changes the length of the listen queue, for which package net takes the
// largest that the system allows. It ignores errors like setBuffers.
func (o Options) setBacklog(listener net.Listener) {
	tcp, ok := listener.(*net.TCPListener)
	if !ok || o.Backlog == 0 {
		return
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) { _ = syscall.Listen(int(fd), o.Backlog) })
}
