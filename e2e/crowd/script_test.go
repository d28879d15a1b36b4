package crowd

import (
	"bytes"
	"fmt"
	"net"
	"slices"
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

// tinyChunks sends a chunked body in chunks of one byte, and not the empty chunk that
// ends it.
func tinyChunks(l listener) script {
	const bodyBytes = 64 << 10
	encoded := bytes.Repeat([]byte("1\r\n \r\n"), bodyBytes)
	return script{requestHead(l, "Transfer-Encoding: chunked\r\n"), encoded}
}

// pipeline sends one complete request after the other and reads no response.
func pipeline(l listener, path string) script {
	const together, parts = 256, 32
	request := fmt.Appendf(nil, "GET %s HTTP/1.1\r\nHost: %s\r\nX-Filler: %s\r\n\r\n", path, l.host, strings.Repeat("x", 200))
	return slices.Repeat(script{bytes.Repeat(request, together)}, parts)
}

// writePatience bounds how long a member waits for a process that does not read. The
// test goes on sooner or later by it; no check depends on it.
const writePatience = 2 * time.Second

// send sends a part and reports whether the connection is still open and read.
func send(c net.Conn, part []byte) bool {
	_ = c.SetWriteDeadline(time.Now().Add(writePatience))
	_, err := c.Write(part)
	return err == nil
}

// runCrowd opens the connections and sends the script on all of them. A connection
// that the process closes or no longer reads sends nothing more.
func runCrowd(t *testing.T, address string, size int, s script) {
	t.Helper()
	connections := connect(t, address, size)
	failed := make([]bool, size)
	for _, part := range s {
		forAll(connections, func(i int) {
			failed[i] = failed[i] || connections[i] == nil || !send(connections[i], part)
		})
	}
}

// runReturningCrowd has each member send the script on a new connection, that many times,
// and come back at once. The last connections stay open until the end of the test.
func runReturningCrowd(t *testing.T, address string, size, rounds int, s script) {
	t.Helper()
	connections := make([]net.Conn, size)
	closeAtEnd(t, connections)
	forAll(connections, func(i int) {
		for range rounds {
			if connections[i] != nil {
				_ = connections[i].Close()
			}
			connections[i], _ = net.DialTimeout("tcp", address, writePatience)
			for _, part := range s {
				if connections[i] == nil || !send(connections[i], part) {
					break
				}
			}
		}
	})
}

// connect opens the connections, which stay open until the end of the test. A process
// that refuses one leaves it nil.
func connect(t *testing.T, address string, size int) []net.Conn {
	t.Helper()
	connections := make([]net.Conn, size)
	forAll(connections, func(i int) {
		connections[i], _ = net.DialTimeout("tcp", address, writePatience)
	})
	closeAtEnd(t, connections)
	return connections
}

func closeAtEnd(t *testing.T, connections []net.Conn) {
	t.Cleanup(func() {
		for _, c := range connections {
			if c != nil {
				_ = c.Close()
			}
		}
	})
}

func forAll(connections []net.Conn, do func(i int)) {
	var all sync.WaitGroup
	for i := range connections {
		all.Go(func() { do(i) })
	}
	all.Wait()
}
