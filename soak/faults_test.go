package soak

import (
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"github.com/ibispier/ibispier/internal/testcluster"
)

const (
	// diskLossGap is the time without faults before each disk loss. The platform
	// gives a new member 4 s to catch up.
	diskLossGap = 4 * time.Second
	// maxFaultDuration bounds the duration of a single fault.
	maxFaultDuration = 2500 * time.Millisecond
)

// fault is one kind of fault. It lasts until apply returns.
type fault struct {
	name  string
	apply func(c *cluster, r *rand.Rand, d time.Duration)
}

var faults = []fault{
	{"kill control", func(c *cluster, r *rand.Rand, d time.Duration) { restart(pick(r, c.controls), d) }},
	{"kill agent", func(c *cluster, r *rand.Rand, d time.Duration) { restart(pick(r, c.agents), d) }},
	{"kill entry", func(c *cluster, r *rand.Rand, d time.Duration) { restart(pick(r, c.entries), d) }},
	{"kill all control", func(c *cluster, r *rand.Rand, d time.Duration) {
		var all sync.WaitGroup
		for _, p := range c.controls {
			all.Go(func() { restart(p, d/4) })
		}
		all.Wait()
	}},
	{"freeze control", func(c *cluster, r *rand.Rand, d time.Duration) { suspend(pick(r, c.controls), d) }},
	{"freeze agent", func(c *cluster, r *rand.Rand, d time.Duration) { suspend(pick(r, c.agents), d) }},
	{"planned stop", func(c *cluster, r *rand.Rand, d time.Duration) {
		p := pick(r, c.processes())
		p.Exclusive(func() {
			p.Signal(syscall.SIGTERM)
			p.Wait()
			p.Start()
		})
	}},
	{"silent links", func(c *cluster, r *rand.Rand, d time.Duration) { pick(r, c.relays).BlackholeOpen() }},
	{"links silent one way", func(c *cluster, r *rand.Rand, d time.Duration) {
		pick(r, c.relays).BlackholeOneWay(r.IntN(2) == 0)
	}},
	{"reset links", func(c *cluster, r *rand.Rand, d time.Duration) {
		relay := pick(r, c.relays)
		relay.SetMode(testcluster.Refuse)
		time.Sleep(d / 10)
		relay.SetMode(testcluster.Forward)
	}},
	{"cut off", func(c *cluster, r *rand.Rand, d time.Duration) {
		relay := pick(r, c.relays)
		relay.SetMode(testcluster.Blackhole)
		time.Sleep(d)
		relay.SetMode(testcluster.Forward)
	}},
	{"slow links", func(c *cluster, r *rand.Rand, d time.Duration) {
		relay := pick(r, c.relays)
		relay.SetDelay(time.Duration(5+r.IntN(40)) * time.Millisecond)
		time.Sleep(d)
		relay.SetDelay(0)
	}},
	{"target crashes", func(c *cluster, r *rand.Rand, d time.Duration) { pick(r, c.targets).crash() }},
	{"late orders", func(c *cluster, r *rand.Rand, d time.Duration) {
		target := pick(r, c.targets)
		target.setLateShare(0.4)
		time.Sleep(d)
		target.setLateShare(0)
	}},
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
	for time.Since(begin) < length {
		name := ""
		if begin.Add(diskLossAt).Before(time.Now()) && !c.disksLost {
			// Two disks are lost one after the other. The settings tolerate one loss
			// at a time, so the faults in progress end first.
			active.Wait()
			name = c.loseTwoDisks(r)
		} else {
			f := pick(r, faults)
			faultRandom := rand.New(rand.NewPCG(r.Uint64(), 1))
			d := time.Duration(r.Int64N(int64(maxFaultDuration)))
			name = f.name + " for " + d.Round(time.Millisecond).String()
			active.Go(func() { f.apply(c, faultRandom, d) })
		}
		injected = append(injected, time.Now().Format("15:04:05.000 ")+name)
		time.Sleep(time.Duration(100+r.IntN(900)) * time.Millisecond)
	}
	active.Wait()
	return injected
}

// loseTwoDisks deletes the data of two members, one after the other.
func (c *cluster) loseTwoDisks(r *rand.Rand) string {
	c.disksLost = true
	first := r.IntN(controls)
	second := (first + 1 + r.IntN(controls-1)) % controls
	time.Sleep(diskLossGap)
	c.loseDisk(first)
	time.Sleep(diskLossGap)
	c.loseDisk(second)
	return "lose the disks of " + c.controls[first].Name + " and " + c.controls[second].Name
}
