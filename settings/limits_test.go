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

// Guards against limits that use up the memory or the descriptors of a process.
func TestDerivedLimitsKeepResourcesBack(t *testing.T) {
	for _, memory := range []int64{0, 64, 152, 284, 4096} {
		for _, descriptors := range []int{0, 256, 1024, 4100, 1 << 20} {
			s := Settings{Daemon: Daemon{MemoryMiB: memory}, Limits: Limits{Descriptors: descriptors}}
			b := s.Bounds()
			connections := b.CallerConnections + 2*b.SecondaryConnections
			if connections <= 0 || b.OtherConnections <= 0 || descriptors > 0 && connections > descriptors*3/4 {
				t.Errorf("memory=%d descriptors=%d: %+v", memory, descriptors, b)
			}
			if held := b.BodyBytes + int64(connections)*connectionBytes; memory > 0 && held > memory<<20*3/4 {
				t.Errorf("memory=%d descriptors=%d: clients hold %d bytes", memory, descriptors, held)
			}
		}
	}
}
