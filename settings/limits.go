package settings

import "time"

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
	// The limit of the runtime does not cover the program itself, measured: 16 MiB resident, nor the
	// bytes that the kernel holds for connections, so a part is kept back for them.
	programMiB  = 16
	kernelShare = 8
	// bodyShare is the part of the memory for bodies. While a body is decoded it takes
	// several times its size.
	bodyShare = 8
	// minBodyMiB leaves room for one body of the largest size of any listener, 4 MiB.
	minBodyMiB = 5
	// connectionShare is the part of the memory for connections, each of which takes
	// connectionBytes with the largest header of a caller. Measured while idle: 21 KiB.
	connectionShare = 2
	connectionBytes = 48 << 10
	// A quarter of the descriptors and ownDescriptors more are kept back for links and
	// files.
	ownDescriptors = 32
	// minConnections keeps a process with very few descriptors reachable.
	minConnections = 16
	// maxSecondary bounds the connections to a listener that only probes and operators
	// use, and secondaryShare its part of all connections.
	maxSecondary   = 64
	secondaryShare = 8
	// otherShare is the part of all connections for operators and for targets. Links
	// need the descriptors of a control member.
	otherShare = 4
	// maxHandshakes bounds the links whose peer has not introduced itself yet. After a
	// restart of a control member, all instances connect within a second.
	maxHandshakes   = 512
	handshakesShare = 8
)

// Bounds are the limits of a process, divided among its listeners.
type Bounds struct {
	RuntimeBytes         int64 // of the Go runtime
	BodyBytes            int64 // of all request bodies
	CallerConnections    int
	OtherConnections     int // of operators, or of the target
	SecondaryConnections int // to each of the addresses for readiness and administration
	Handshakes           int // of links whose peer has not introduced itself
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
	connections := s.Limits.Connections
	if connections == 0 {
		connections = int(memory << 20 / connectionShare / connectionBytes)
	}
	connections = max(min(connections, descriptors*3/4-ownDescriptors), minConnections)
	secondary := min(maxSecondary, connections/secondaryShare)
	return Bounds{
		RuntimeBytes:         max(memory-memory/kernelShare-programMiB, memory/2) << 20,
		BodyBytes:            body << 20,
		CallerConnections:    connections - 2*secondary,
		OtherConnections:     connections / otherShare,
		SecondaryConnections: secondary,
		Handshakes:           max(min(maxHandshakes, descriptors/handshakesShare), 1),
	}
}
