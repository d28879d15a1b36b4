package crowd

import (
	"encoding/binary"
	"io"
	"net"
	"testing"
	"time"

	"github.com/hashicorp/yamux"

	"github.com/ibispier/ibispier/wire"
)

// Guards against peers that connect to the address for links, introduce themselves to
// nobody, and take the memory or the descriptors of a control member.
func TestLinksOfControl(t *testing.T) {
	for _, c := range []struct {
		name              string
		size, descriptors int
		send              func(net.Conn)
	}{
		{"silent", 400, fewDescriptors, func(net.Conn) {}},
		{"large first frame", bodyBytes / wire.MaxFrameBytes, manyDescriptors, largeFirstFrame},
		{"many streams", 24, manyDescriptors, manyStreams},
	} {
		t.Run(c.name, func(t *testing.T) {
			l := startOperators(t, c.descriptors)
			l.ordinary = startEntry(t, manyDescriptors, l.links).ordinary
			l.checkBounds(t, "before the crowd")
			connections := connect(t, l.links, c.size)
			forAll(connections, func(i int) {
				if connections[i] != nil {
					c.send(connections[i])
				}
			})
			l.checkAnswers(t)
		})
	}
}

// openSession returns a session whose streams stop sending after writePatience.
func openSession(c net.Conn) *yamux.Session {
	config := yamux.DefaultConfig()
	config.LogOutput = io.Discard
	config.EnableKeepAlive = false
	session, err := yamux.Client(c, config)
	if err != nil {
		panic(err) // the configuration is invalid
	}
	return session
}

func sendOn(session *yamux.Session, data []byte) {
	stream, err := session.OpenStream()
	if err != nil {
		return
	}
	_ = stream.SetWriteDeadline(time.Now().Add(writePatience))
	_, _ = stream.Write(data)
}

// largeFirstFrame sends all but the last byte of the largest frame.
func largeFirstFrame(c net.Conn) {
	frame := make([]byte, 4+wire.MaxFrameBytes-1)
	binary.BigEndian.PutUint32(frame, wire.MaxFrameBytes)
	sendOn(openSession(c), frame)
}

// manyStreams fills the window of each of many streams.
func manyStreams(c net.Conn) {
	const streams, window = 64, 256 << 10
	session := openSession(c)
	for range streams {
		sendOn(session, make([]byte, window))
	}
}

// fullStreams fills the window of some streams, whose first frame does not end. It is
// encoded by hand because a session would wait for the peer.
func fullStreams() script {
	const streams, window, headerBytes = 8, 256 << 10, 12
	const flagSYN = 1
	var s script
	for i := range streams {
		frame := make([]byte, headerBytes+window) // version 0, type 0: data
		binary.BigEndian.PutUint16(frame[2:], flagSYN)
		binary.BigEndian.PutUint32(frame[4:], uint32(2*i+1))
		binary.BigEndian.PutUint32(frame[8:], window)
		binary.BigEndian.PutUint32(frame[headerBytes:], wire.MaxFrameBytes)
		s = append(s, frame)
	}
	return s
}
