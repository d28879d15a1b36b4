package settings

import (
	"time"

	"github.com/ibispier/ibispier/tcplisten"
)

// Limits bounds what the clients of a process hold together. 0 derives a value from the
// memory or the descriptors of the process.
type Limits struct {
	BodyMiB     int64         // request bodies
	Connections int           // connections of clients
	Descriptors int           // that the process may open
	BodyWindow  time.Duration // in which a body has to make progress
}

const (
	// assumedMemoryMiB and assumedDescriptors stand for unknown limits.
	assumedMemoryMiB   = 1024
	assumedDescriptors = 1024
	// programMiB is resident beside what the runtime counts, measured. kernelShare is the
	// part of the memory for what the kernel holds for connections. The runtime gets
	// neither.
	programMiB  = 16
	kernelShare = 4
	// bodyShare is the part of the memory for bodies. While a body is decoded it takes
	// several times its size.
	bodyShare = 8
	// minBodyMiB leaves room for one body of the largest size of any listener, 4 MiB.
	minBodyMiB = 5
	// connectionShare is the part of the memory for connections, each of which takes
	// connectionBytes with the largest header of a caller. Measured while idle: 21 KiB.
	connectionShare = 2
	connectionBytes = 48 << 10
	// callerBufferBytes is what the kernel may hold for a connection of a caller. Most
	// requests and responses fit, and a body of 256 KiB arrives in about 12 round trips.
	callerBufferBytes = 48 << 10
	// minBufferBytes still takes the header of an ordinary request. maxBufferBytes carries
	// a body of 4 MiB over a long link at the rate that links to other members have.
	minBufferBytes = 12 << 10
	maxBufferBytes = 384 << 10
	// A third of a buffer is for responses, which are smaller than requests.
	sendShare = 3
	// linkBufferBytes is what the kernel receives for a link whose peer has not introduced
	// itself. Links carry snapshots between regions, so their buffers are left to the system.
	linkBufferBytes = 128 << 10
	// The listen queue of a listener is a quarter of its connections.
	backlogShare = 4
	// A quarter of the descriptors and ownDescriptors more are kept back for links and
	// files.
	ownDescriptors = 32
	// minConnections keeps a process with very few descriptors reachable.
	minConnections = 16
	// maxSecondary bounds the connections to a listener that only probes and operators
	// use, and secondaryShare its part of all connections.
	maxSecondary   = 64
	secondaryShare = 8
	// maxOther bounds the connections of operators, of whom at most eight send an order at
	// once, and of a target. They are few, so that each may have a large buffer. otherShare
	// is their part of all connections.
	maxOther   = 64
	otherShare = 4
	// maxHandshakes bounds the links whose peer has not introduced itself yet. After a
	// restart of a control member, all instances connect within a second.
	maxHandshakes   = 512
	handshakesShare = 8
)

// Listener bounds what the clients of one listener hold.
type Listener struct {
	Connections int
	Socket      tcplisten.Options
}

// Bounds are the limits of a process, divided among its listeners.
type Bounds struct {
	RuntimeBytes int64 // of the Go runtime
	BodyBytes    int64 // of all request bodies
	Callers      Listener
	Others       Listener // of operators, or of the target
	Secondary    Listener // each of the addresses for readiness and administration
	Links        tcplisten.Options
	Handshakes   int // of links whose peer has not introduced itself
}

// Bounds returns the limits of the process, derived where the settings give none.
func (s *Settings) Bounds() Bounds {
	memory, descriptors := s.Daemon.MemoryMiB, s.Limits.Descriptors
	if memory == 0 {
		memory = assumedMemoryMiB
	}
	if descriptors == 0 {
		descriptors = assumedDescriptors
	}
	body := s.Limits.BodyMiB
	if body == 0 {
		body = max(memory/bodyShare, minBodyMiB)
	}
	b := Bounds{
		RuntimeBytes: max(memory-memory/kernelShare-programMiB, memory/2) << 20,
		BodyBytes:    body << 20,
	}
	b.divide(s, memory<<20, descriptors)
	return b
}

// divide divides the connections, and what the kernel may hold for them, among the
// listeners of the process.
func (b *Bounds) divide(s *Settings, memoryBytes int64, descriptors int) {
	callers, others := s.HasRole(RoleEntry), s.HasRole(RoleControl) || s.HasRole(RoleAgent)
	links := s.HasRole(RoleControl) || s.Entry.AgentListen != ""
	kernelBytes := memoryBytes / kernelShare / max(count(callers, others, links), 1)

	connections := s.Limits.Connections
	if connections == 0 {
		connections = int(min(memoryBytes/connectionShare/connectionBytes, kernelBytes/withBacklog(callerBufferBytes)))
	}
	connections = max(min(connections, descriptors*3/4-ownDescriptors), minConnections)
	secondary, other := min(maxSecondary, connections/secondaryShare), min(maxOther, connections/otherShare)
	forCallers := connections - 2*secondary
	if others {
		forCallers -= other
	}
	buffer := min(kernelBytes/withBacklog(int64(connections)), callerBufferBytes)
	b.Secondary = newListener(secondary, buffer)
	b.Callers = newListener(forCallers, buffer)
	b.Others = newListener(other, min(kernelBytes/2/withBacklog(int64(other)), maxBufferBytes))
	b.divideLinks(int(kernelBytes/linkBufferBytes), descriptors)
}

// divideLinks divides the buffers for links between those that are not accepted yet and
// those whose peer has not introduced itself.
func (b *Bounds) divideLinks(buffers, descriptors int) {
	b.Links = tcplisten.Options{Backlog: max(buffers/2, 1)}
	b.Handshakes = max(min(buffers/2, maxHandshakes, descriptors/handshakesShare), 1)
}

func count(conditions ...bool) int64 {
	var n int64
	for _, c := range conditions {
		if c {
			n++
		}
	}
	return n
}

// withBacklog returns the number or the bytes of connections together with those of the
// listen queue.
func withBacklog(n int64) int64 { return n + n/backlogShare }

// newListener returns the bounds of a listener whose connections have buffers of that
// size together.
func newListener(connections int, bufferBytes int64) Listener {
	buffer := int(max(bufferBytes, minBufferBytes))
	return Listener{Connections: connections, Socket: tcplisten.Options{
		ReceiveBytes: buffer - buffer/sendShare,
		SendBytes:    buffer / sendShare,
		Backlog:      max(connections/backlogShare, 1),
	}}
}
