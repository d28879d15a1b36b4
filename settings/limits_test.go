package settings

import (
	"testing"
	"time"

	"github.com/ibispier/ibispier/httpduty/bodylimit"
)

// Guards against a default limit that clients inside the limits of the pages meet: a
// hundred callers behind one address with the largest submission each, or eight orders
// of operators with the largest body.
func TestDefaultLimitsAdmitOrdinaryClients(t *testing.T) {
	for name, c := range map[string]struct {
		memoryMiB, bytes int64
		count            int
	}{
		"callers":       {284, 256 << 10, 100},
		"operators":     {280, 4 << 20, 8},
		"announcements": {152, 4 << 20, 1},
		"little memory": {16, 4 << 20, 1},
	} {
		s := Settings{Daemon: Daemon{MemoryMiB: c.memoryMiB}, Limits: Limits{Descriptors: 4096}}
		budget := bodylimit.New(bodylimit.NewLimits(s.Bounds().BodyBytes))
		for i := range c.count {
			if body, _ := budget.Admit(time.Unix(0, 0), "one", c.bytes, nil); body == nil {
				t.Errorf("%s: body %d of %d is refused", name, i+1, c.count)
			}
		}
	}
}

// Guards against limits that use up the memory or the descriptors of a process, with the
// listeners of any roles.
func TestDerivedLimitsKeepResourcesBack(t *testing.T) {
	for _, roles := range [][]string{
		{RoleEntry}, {RoleControl}, {RoleAgent}, {RoleEntry, RoleControl}, {RoleEntry, RoleControl, RoleAgent},
	} {
		for _, memory := range []int64{0, 64, 152, 284, 4096} {
			for _, descriptors := range []int{0, 256, 1024, 4100, 1 << 20} {
				s := Settings{Daemon: Daemon{Roles: roles, MemoryMiB: memory}, Limits: Limits{Descriptors: descriptors}}
				checkResources(t, &s)
			}
		}
	}
}

func checkResources(t *testing.T, s *Settings) {
	t.Helper()
	memoryBytes, descriptors := s.Daemon.MemoryMiB<<20, s.Limits.Descriptors
	b := s.Bounds()
	listeners := []Listener{b.Secondary, b.Secondary}
	if s.HasRole(RoleEntry) {
		listeners = append(listeners, b.Callers)
	}
	if s.HasRole(RoleControl) || s.HasRole(RoleAgent) {
		listeners = append(listeners, b.Others)
	}
	connections, kernelBytes := 0, 0
	for _, l := range listeners {
		if l.Connections <= 0 || l.Socket.Backlog <= 0 || l.Socket.ReceiveBytes <= 0 || l.Socket.SendBytes <= 0 {
			t.Errorf("roles=%v memory=%d descriptors=%d: %+v", s.Daemon.Roles, s.Daemon.MemoryMiB, descriptors, l)
		}
		connections += l.Connections
		kernelBytes += l.Connections*(l.Socket.ReceiveBytes+l.Socket.SendBytes) + l.Socket.Backlog*l.Socket.ReceiveBytes
	}
	if s.HasRole(RoleControl) {
		kernelBytes += (b.Links.Backlog + b.Handshakes) * linkBufferBytes
	}
	if descriptors > 0 && connections > descriptors*3/4 {
		t.Errorf("roles=%v memory=%d descriptors=%d: %d connections", s.Daemon.Roles, s.Daemon.MemoryMiB, descriptors, connections)
	}
	if memoryBytes == 0 {
		return
	}
	if held := b.BodyBytes + int64(connections)*connectionBytes; held > memoryBytes*3/4 {
		t.Errorf("roles=%v memory=%d descriptors=%d: clients hold %d bytes", s.Daemon.Roles, s.Daemon.MemoryMiB, descriptors, held)
	}
	if held := b.RuntimeBytes + programMiB<<20 + int64(kernelBytes); held > memoryBytes {
		t.Errorf("roles=%v memory=%d descriptors=%d: runtime, program and kernel hold %d bytes, %d of them for connections",
			s.Daemon.Roles, s.Daemon.MemoryMiB, descriptors, held, kernelBytes)
	}
}
