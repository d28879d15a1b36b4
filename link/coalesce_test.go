package link

import (
	"bytes"
	"io"
	"net"
	"testing"
	"time"

	"github.com/hashicorp/yamux"
)

// countingConn counts the writes to a connection.
type countingConn struct {
	net.Conn
	writes int
}

func (c *countingConn) Write(p []byte) (int, error) {
	c.writes++
	return c.Conn.Write(p)
}

// Guards against frames that take two writes each, and against bytes that are lost,
// repeated or held back when header and body are joined.
func TestFrameIsOneWrite(t *testing.T) {
	near, far := net.Pipe()
	counting := &countingConn{Conn: near}
	client, err := yamux.Client(&coalescingConn{Conn: counting}, sessionConfig(Options{HandshakeTimeout: time.Second}))
	if err != nil {
		t.Fatal(err)
	}
	server, err := yamux.Server(far, sessionConfig(Options{HandshakeTimeout: time.Second}))
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	defer server.Close()
	out, err := client.OpenStream()
	if err != nil {
		t.Fatal(err)
	}
	in, err := server.AcceptStream()
	if err != nil {
		t.Fatal(err)
	}
	before := counting.writes
	const frames = 20
	for i := range frames {
		body := bytes.Repeat([]byte{byte(i)}, 1+i*500) // 12 bytes among the sizes would look like a header
		if i == 1 {
			body = make([]byte, yamuxHeaderBytes)
			body[yamuxLengthOffset] = 1
		}
		if _, err := out.Write(body); err != nil {
			t.Fatal(err)
		}
		got := make([]byte, len(body))
		if _, err := io.ReadFull(in, got); err != nil || !bytes.Equal(got, body) {
			t.Fatalf("frame %d differs: %v", i, err)
		}
	}
	if used := counting.writes - before; used > frames+2 { // window updates take a write each
		t.Errorf("%d writes for %d frames", used, frames)
	}
}
