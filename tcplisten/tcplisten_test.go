package tcplisten

import (
	"net"
	"syscall"
	"testing"
)

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
