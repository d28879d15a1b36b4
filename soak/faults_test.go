package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/ibispier/ibispier/internal/testcluster"
)

const (
	// diskLossGap is the time without faults before each disk loss. The platform
	// gives a new member 4 s to catch up.
	diskLossGap = 4 * time.Second
	// replacementGap and seedLag are the time between the loss of two members that are
	// replaced: a second for the new one to come, and 6 s that the platform gives it to
	// catch up.
	replacementGap = 4 * time.Second
	// seedLag is the time after which settings name seeds without the lost member.
	seedLag = 3 * time.Second
	// maxFaultDuration bounds the duration of a single fault.
	maxFaultDuration = 2500 * time.Millisecond
)

// fault is one kind of fault. It lasts until apply returns.
type fault struct {
	name  string
	apply func(c *cluster, r *rand.Rand, d time.Duration)
}

// outerFaults are the faults that end no control member and cut none off, so that they
// may accompany the loss of members.
func (c *cluster) outerFaults() []fault {
	return slices.DeleteFunc(slices.Clone(c.faults()), func(f fault) bool {
		return !slices.Contains([]string{
			"kill agent", "kill entry", "freeze agent", "target crashes", "target crashes while its agent is frozen", "late orders",
			"full disk", "stalled disk", "seeds exchanged",
		}, f.name)
	})
}

var faults = []fault{
	{"kill control", func(c *cluster, r *rand.Rand, d time.Duration) { restart(pick(r, c.live()).Process, d) }},
	{"kill agent", func(c *cluster, r *rand.Rand, d time.Duration) { restart(pick(r, c.agents), d) }},
	{"kill entry", func(c *cluster, r *rand.Rand, d time.Duration) { restart(pick(r, c.entries), d) }},
	{"kill all control", func(c *cluster, r *rand.Rand, d time.Duration) {
		var all sync.WaitGroup
		for _, m := range c.live() {
			all.Go(func() { restart(m.Process, d/4) })
		}
		all.Wait()
	}},
	{"freeze control", func(c *cluster, r *rand.Rand, d time.Duration) { suspend(pick(r, c.live()).Process, d) }},
	{"freeze agent", func(c *cluster, r *rand.Rand, d time.Duration) { suspend(pick(r, c.agents), d) }},
	{"planned stop", func(c *cluster, r *rand.Rand, d time.Duration) {
		p := pick(r, c.processes())
		p.Exclusive(func() {
			p.Signal(syscall.SIGTERM)
			p.Wait()
			p.Start()
		})
	}},
	{"silent links", func(c *cluster, r *rand.Rand, d time.Duration) { pick(r, c.live()).relay.BlackholeOpen() }},
	{"links silent one way", func(c *cluster, r *rand.Rand, d time.Duration) {
		pick(r, c.live()).relay.BlackholeOneWay(r.IntN(2) == 0)
	}},
	{"reset links", func(c *cluster, r *rand.Rand, d time.Duration) {
		relay := pick(r, c.live()).relay
		relay.SetMode(testcluster.Refuse)
		time.Sleep(d / 10)
		relay.SetMode(testcluster.Forward)
	}},
	{"cut off", func(c *cluster, r *rand.Rand, d time.Duration) {
		relay := pick(r, c.live()).relay
		relay.SetMode(testcluster.Blackhole)
		time.Sleep(d)
		relay.SetMode(testcluster.Forward)
	}},
	{"slow links", func(c *cluster, r *rand.Rand, d time.Duration) {
		relay := pick(r, c.live()).relay
		relay.SetDelay(time.Duration(5+r.IntN(40)) * time.Millisecond)
		time.Sleep(d)
		relay.SetDelay(0)
	}},
	{"target crashes", func(c *cluster, r *rand.Rand, d time.Duration) { pick(r, c.targets).crash() }},
	{"target crashes while its agent is frozen", func(c *cluster, r *rand.Rand, d time.Duration) {
		i := r.IntN(len(c.agents))
		c.agents[i].Exclusive(func() {
			c.agents[i].Suspend()
			time.Sleep(d / 3)
			c.targets[i].crash()
			time.Sleep(2 * d)
			c.agents[i].Resume()
		})
	}},
	{"late orders", func(c *cluster, r *rand.Rand, d time.Duration) {
		target := pick(r, c.targets)
		target.setLateShare(0.4)
		time.Sleep(d)
		target.setLateShare(0)
	}},
}

// outages are the faults of shapes with outages: disks, a zone, settings.
var outages = []fault{
	{"full disk", func(c *cluster, r *rand.Rand, d time.Duration) { c.disturbDisk(pick(r, c.live()), diskFull, d) }},
	{"stalled disk", func(c *cluster, r *rand.Rand, d time.Duration) { c.disturbDisk(pick(r, c.live()), diskStalled, d) }},
	{"failing disk", func(c *cluster, r *rand.Rand, d time.Duration) { c.disturbDisk(pick(r, c.live()), diskFailing, d) }},
	{"seeds exchanged", func(c *cluster, r *rand.Rand, d time.Duration) { c.exchangeSeeds(r) }},
	{"zone lost", func(c *cluster, r *rand.Rand, d time.Duration) {
		c.loseZone(pick(r, c.live()), r.IntN(c.shape.controls), d)
	}},
}

// disturbDisk puts the disk of a member into the state for the time. The process ends
// if its disk fails, and only then; it is started again, as the platform does.
func (c *cluster) disturbDisk(m *member, s diskState, d time.Duration) {
	if !c.diskFault.TryLock() {
		return
	}
	defer c.diskFault.Unlock()
	c.setDisk(m, s)
	time.Sleep(d)
	c.setDisk(m, diskSound)
	m.Exclusive(func() {
		if !m.Exited() || c.isRetired(m) {
			return
		}
		if s != diskFailing {
			c.oracle.addViolation("%s has ended by itself on a %s disk", m.Name, s)
		}
		m.Start()
	})
}

func (c *cluster) setDisk(m *member, s diskState) {
	err := os.WriteFile(m.diskFile()+".new", []byte(s), 0o600)
	if err == nil {
		err = os.Rename(m.diskFile()+".new", m.diskFile())
	}
	if err != nil {
		c.t.Error(err)
	}
}

// loseZone kills a member, and the entry instance and the agents of a zone, and starts
// them again after the time.
func (c *cluster) loseZone(m *member, zone int, d time.Duration) {
	zoneProcesses := []*testcluster.Process{m.Process, c.entries[zone%len(c.entries)]}
	perZone := len(c.agents) / c.shape.controls
	zoneProcesses = append(zoneProcesses, c.agents[zone*perZone:(zone+1)*perZone]...)
	var all sync.WaitGroup
	for _, p := range zoneProcesses {
		all.Go(func() { restart(p, d) })
	}
	all.Wait()
}

func pick[T any](r *rand.Rand, from []T) T { return from[r.IntN(len(from))] }

func restart(p *testcluster.Process, down time.Duration) {
	p.Exclusive(func() {
		p.Kill()
		time.Sleep(down)
		p.Start()
	})
}

func suspend(p *testcluster.Process, d time.Duration) {
	p.Exclusive(func() {
		p.Suspend()
		time.Sleep(d)
		p.Resume()
	})
}

// injectFaults starts random faults, which may overlap, for the given time and
// returns a log of them.
func (c *cluster) injectFaults(r *rand.Rand, length time.Duration) []string {
	var injected []string
	var active sync.WaitGroup
	begin := time.Now()
	diskLossAt := time.Duration(r.Int64N(int64(2 * length))) // in half of the runs
	if c.shape.replaces {
		diskLossAt /= 2
	}
	for time.Since(begin) < length || c.shape.outages && !c.disksLost {
		name := ""
		if begin.Add(diskLossAt).Before(time.Now()) && !c.disksLost {
			// Two disks are lost one after the other. The settings tolerate one loss
			// at a time, so the faults in progress end first.
			active.Wait()
			name = c.loseDisks(r)
		} else {
			name = c.startFault(r, c.faults(), &active)
		}
		injected = append(injected, time.Now().Format("15:04:05.000 ")+name)
		time.Sleep(time.Duration(100+r.IntN(900)) * time.Millisecond)
	}
	active.Wait()
	return injected
}

// losePower kills all processes and targets at the same moment, right after a member has
// confirmed a manifest, and starts them again. That member loses its disk.
func (c *cluster) losePower(r *rand.Rand) string {
	time.Sleep(diskLossGap)
	lost := c.awaitConfirmer(c.live(), pick(r, c.live()))
	down := time.Duration(300+r.IntN(900)) * time.Millisecond
	var all sync.WaitGroup
	for _, p := range c.processes() {
		all.Go(func() {
			p.Exclusive(func() {
				p.Kill()
				time.Sleep(down)
				if p == lost.Process {
					c.clearDisk(lost)
				}
				p.Start()
			})
		})
	}
	for _, t := range c.targets {
		all.Go(t.crash)
	}
	all.Wait()
	return "all lose power for " + down.String() + ", " + lost.Name + " loses its disk"
}

// cancelBehindFrozenAgents suspends every second agent, and submits jobs that are
// cancelled as soon as they are accepted. The starts on those agents are still on their
// way then. It also suspends an entry instance that jobs are submitted to; their callers
// leave and cancel them at another one, before the submission arrives.
func (a *callers) cancelBehindFrozenAgents(ctx context.Context, r *rand.Rand) string {
	const waveJobs, agentFreeze = 16, 1200 * time.Millisecond
	const entryFreeze, patience = 1200 * time.Millisecond, 300 * time.Millisecond
	var all sync.WaitGroup
	all.Go(func() { suspend(a.cluster.entries[0], entryFreeze) })
	for range waveJobs {
		j := a.newJob(r, lastingPayload)
		body := fmt.Appendf(nil, `{"spec":%q,"steps":[{"count":2,"cpu":1000,"memMb":64,"longRunning":true}]}`, j.payload)
		all.Go(func() {
			time.Sleep(patience) // the entry instance is suspended by then
			a.giveUp(ctx, j, 0, body, patience)
		})
	}
	for i := 0; i < len(a.cluster.agents); i += 2 {
		all.Go(func() { suspend(a.cluster.agents[i], agentFreeze) })
	}
	for range waveJobs {
		j := a.newJob(r, "cancelled at once")
		body := fmt.Appendf(nil, `{"spec":%q,"steps":[{"count":%d,"cpu":1000,"memMb":64,"estimateMs":300}]}`, j.payload, 2*len(a.cluster.agents))
		entry := r.IntN(a.entryCount())
		all.Go(func() {
			a.submitWithRetries(ctx, j, entry, body, false)
			a.cancel(ctx, j)
		})
	}
	all.Wait()
	return "jobs are cancelled while agents and an entry instance are frozen"
}

// faults returns the faults of the shape.
func (c *cluster) faults() []fault {
	if c.shape.outages {
		return slices.Concat(faults, outages)
	}
	return faults
}

// startFault starts one of the faults and returns its description.
func (c *cluster) startFault(r *rand.Rand, from []fault, active *sync.WaitGroup) string {
	f := pick(r, from)
	faultRandom := rand.New(rand.NewPCG(r.Uint64(), 1))
	d := time.Duration(r.Int64N(int64(maxFaultDuration)))
	active.Go(func() { f.apply(c, faultRandom, d) })
	return f.name + " for " + d.Round(time.Millisecond).String()
}

// loseDisks replaces members in a row where the shape says so, and otherwise deletes
// the data of two members, one after the other.
func (c *cluster) loseDisks(r *rand.Rand) string {
	c.disksLost = true
	if c.shape.replaces {
		var names []string
		var active sync.WaitGroup
		for range 3 + r.IntN(2) {
			for end := time.Now().Add(replacementGap); time.Now().Before(end); {
				names = append(names, c.startFault(r, c.outerFaults(), &active))
				time.Sleep(time.Duration(300+r.IntN(1500)) * time.Millisecond)
			}
			lost, name := c.replaceMember(r)
			names = append(names, time.Now().Format("15:04:05.000 ")+name)
			time.Sleep(seedLag)
			c.refreshSeeds(r)
			if c.shape.outages {
				names = append(names, c.reuseAddress(r, lost))
			}
		}
		time.Sleep(replacementGap)
		active.Wait()
		return strings.Join(names, "; ")
	}
	live := c.live()
	r.Shuffle(len(live), func(i, j int) { live[i], live[j] = live[j], live[i] })
	for _, m := range live[:2] {
		time.Sleep(diskLossGap)
		c.loseDisk(m)
	}
	return "lose the disks of " + live[0].Name + " and " + live[1].Name
}

// reuseAddress decides what happens at the address of a lost member: it stays silent,
// its machine refuses connections, or a process of another kind answers there.
func (c *cluster) reuseAddress(r *rand.Rand, lost *member) string {
	switch r.IntN(3) {
	case 0:
		lost.relay.SetMode(testcluster.Refuse)
		return "connections to " + lost.Name + " are refused"
	case 1:
		lost.relay.SetMode(testcluster.Foreign)
		return "another process answers for " + lost.Name
	}
	return lost.Name + " stays silent"
}
