package crowd

import (
	"bytes"
	"fmt"
	"net"
	"strings"
	"sync"
	"testing"
	"time"
)

// script is what one member of a crowd sends, in parts. A crowd sends each part on
// all its connections before it goes on with the next part. The connections stay open.
type script [][]byte

func requestHead(l listener, fields string) []byte {
	return fmt.Appendf(nil, "POST %s HTTP/1.1\r\nHost: %s\r\nContent-Type: application/json\r\nIbispier-Customer: veilinghal\r\n"+
		"Idempotency-Key: crowd\r\n%s\r\n", l.path, l.host, fields)
}

// shortBody declares a body of legal size and sends all but its last byte, in that many
// pieces.
func shortBody(l listener, pieces int) script {
	head := requestHead(l, fmt.Sprintf("Content-Length: %d\r\n", l.maxBody))
	s := script{head}
	rest := l.maxBody - 1
	for i := range pieces {
		size := rest / (pieces - i)
		s = append(s, bytes.Repeat([]byte{' '}, size))
		rest -= size
	}
	return s
}

// chunkedBody sends a body of legal size in chunks, and not the empty chunk that ends
// it. Small chunks are sent together.
func chunkedBody(l listener, chunk int) script {
	s := script{requestHead(l, "Transfer-Encoding: chunked\r\n")}
	encoded := fmt.Appendf(nil, "%x\r\n%s\r\n", chunk, bytes.Repeat([]byte{' '}, chunk))
	together := max(1, 64<<10/chunk)
	for sent := 0; sent+together*chunk <= l.maxBody; sent += together * chunk {
		s = append(s, bytes.Repeat(encoded, together))
	}
	return s
}

// endlessHeader sends header lines up to the limit of the server, and not the empty
// line that ends them.
func endlessHeader(l listener) script {
	s := script{bytes.TrimSuffix(requestHead(l, ""), []byte("\r\n"))}
	const lineBytes = 4 << 10
	line := "X-Filler: " + strings.Repeat("x", lineBytes) + "\r\n"
	lines := l.maxHeader*9/10/len(line) + 1
	const parts = 8
	for range parts {
		s = append(s, []byte(strings.Repeat(line, max(1, lines/parts))))
	}
	return s
}

// idle sends one complete request and leaves the connection open.
func idle(l listener) script {
	return script{fmt.Appendf(nil, "GET /nothing HTTP/1.1\r\nHost: %s\r\n\r\n", l.host)}
}

// dense sends a complete body of legal size that consists of as many values as it has
// room for.
func dense(before, value, after string) func(listener) script {
	return func(l listener) script {
		count := (l.maxBody - len(before) - len(after)) / (len(value) + 1)
		body := before + strings.Repeat(value+",", count-1) + value + after
		return script{requestHead(l, fmt.Sprintf("Content-Length: %d\r\n", len(body))), []byte(body)}
	}
}

// writePatience bounds how long a member waits for a process that does not read. The
// test goes on sooner or later by it; no check depends on it.
const writePatience = 2 * time.Second

// runCrowd opens the connections and sends the script on all of them. A connection
// that the process closes or no longer reads sends nothing more.
func runCrowd(t *testing.T, address string, size int, s script) {
	t.Helper()
	connections := connect(t, address, size)
	failed := make([]bool, size)
	for _, part := range s {
		forAll(connections, func(i int) {
			if connections[i] == nil || failed[i] {
				return
			}
			_ = connections[i].SetWriteDeadline(time.Now().Add(writePatience))
			_, err := connections[i].Write(part)
			failed[i] = err != nil
		})
	}
}

// connect opens the connections, which stay open until the end of the test. A process
// that refuses one leaves it nil.
func connect(t *testing.T, address string, size int) []net.Conn {
	t.Helper()
	connections := make([]net.Conn, size)
	forAll(connections, func(i int) {
		connections[i], _ = net.DialTimeout("tcp", address, writePatience)
	})
	t.Cleanup(func() {
		for _, c := range connections {
			if c != nil {
				_ = c.Close()
			}
		}
	})
	return connections
}

func forAll(connections []net.Conn, do func(i int)) {
	var all sync.WaitGroup
	for i := range connections {
		all.Go(func() { do(i) })
	}
	all.Wait()
}
