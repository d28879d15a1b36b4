package slots

import (
	"net"
	"strings"
	"syscall"
)

// isOpenIdle reports whether an idle connection is still open and has no unread
// data. A request sent on a connection that the target has closed has an unknown
// outcome; the check avoids that in most cases.
func isOpenIdle(conn *net.TCPConn) bool {
	raw, err := conn.SyscallConn()
	if err != nil {
		return false
	}
	openIdle := false
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		openIdle = err == syscall.EAGAIN
	})
	return err == nil && openIdle
}

// isToken reports whether s can be used as an HTTP method or field name without
// breaking the framing.
func isToken(s string) bool {
	return s != "" && !strings.ContainsAny(s, " \t\r\n:\x00")
}

// isRequestPath reports whether s can be used as the path of a request line.
func isRequestPath(s string) bool {
	return strings.HasPrefix(s, "/") && !strings.ContainsAny(s, " \r\n\x00")
}

// isFieldValue reports whether s can be used as a header field value.
func isFieldValue(s string) bool { return !strings.ContainsAny(s, "\r\n\x00") }
