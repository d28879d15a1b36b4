package tcplisten

import (
	"net"
	"syscall"
	"testing"
	"time"
)

// dialPatience is long enough for a connection on the loopback address.
const dialPatience = 500 * time.Millisecond

// Guards against connections that do not take over the bounds of their listener.
func TestConnectionsTakeOverTheBounds(t *testing.T) {
	listener, err := Listen("127.0.0.1:0", Options{ReceiveBytes: 32 << 10, SendBytes: 16 << 10})
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	client, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	accepted, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer accepted.Close()
	raw, err := accepted.(*net.TCPConn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	for option, want := range map[int]int{syscall.SO_RCVBUF: 32 << 10, syscall.SO_SNDBUF: 16 << 10} {
		var size int
		var optionErr error
		err := raw.Control(func(fd uintptr) { size, optionErr = syscall.GetsockoptInt(int(fd), syscall.SOL_SOCKET, option) })
		if err != nil || optionErr != nil {
			t.Fatal(err, optionErr)
		}
		if size != want {
			t.Errorf("option %d: %d bytes, want %d", option, size, want)
		}
	}
}

// Guards against a listen queue without a bound: while a process does not accept, the
// kernel completes connections and receives for each of them.
func TestBacklogIsBounded(t *testing.T) {
	const backlog, dials = 8, 40
	listener, err := Listen("127.0.0.1:0", Options{Backlog: backlog})
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	established := make(chan net.Conn, dials)
	for range dials {
		go func() {
			c, _ := net.DialTimeout("tcp", listener.Addr().String(), dialPatience)
			established <- c
		}()
	}
	held := 0
	for range dials {
		if c := <-established; c != nil {
			held++
			defer c.Close()
		}
	}
	// Linux holds one more than the backlog, and the client of another one may take its
	// connection as established.
	if held > 2*backlog {
		t.Errorf("%d connections are established, the backlog is %d", held, backlog)
	}
}
