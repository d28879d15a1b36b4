package main

import (
	"cmp"
	"fmt"
	"slices"
	"syscall"
	"time"
)

const (
	host   = "desk.example"
	prefix = "/jobs/"
	// firstHeartbeat is how long after its start a runner checks in: it serves first,
	// and checks in about every 1.5 s.
	firstHeartbeat = 600 * time.Millisecond
)

var cases = map[string]testCase{
	"reborn-lease":  {runners: 3, cpuMilli: 32_000, play: rebornLease},
	"failing-watch": {runners: 3, cpuMilli: 64_000, play: failingWatch},
	"dropped-route": {runners: 2, cpuMilli: 32_000, play: droppedRoute},
}

// rebornLease crashes a runner, which starts again under its id, and freezes its
// agent a second later.
func rebornLease(r *run) (string, error) {
	if err := r.Configure(Manifest(1, NewRoute("r-1", host, prefix))); err != nil {
		return "", err
	}
	if err := r.Submit(host, prefix, "00000000000000a1", "work=500", Step{Count: 3, CPU: 1000, Memory: 500, Estimate: 500}); err != nil {
		return "", err
	}
	time.Sleep(10 * time.Second) // the first lives get old
	first := r.Runners[0]
	if r.trouble {
		first.Crash()
		time.Sleep(400 * time.Millisecond)
		if err := first.Start(time.Now()); err != nil {
			return "", err
		}
		time.Sleep(1500 * time.Millisecond)
	}
	if err := r.Submit(host, prefix, "00000000000000a2", "work=25000", Step{Count: 6, CPU: 8000, Memory: 500, Estimate: 25_000}); err != nil {
		return "", err
	}
	time.Sleep(700 * time.Millisecond)
	if r.trouble {
		if err := r.Signal(agentName(0), syscall.SIGSTOP); err != nil {
			return "", err
		}
		time.Sleep(6 * time.Second)
		if err := r.Signal(agentName(0), syscall.SIGCONT); err != nil {
			return "", err
		}
	}
	time.Sleep(4 * time.Second)
	return r.overlap(), nil
}

// overlap returns two runs of one task that were running at the same time.
func (r *run) overlap() string {
	var all []Interval
	for _, runner := range r.Runners {
		all = append(all, runner.Intervals()...)
	}
	now := r.record.Now()
	found := ""
	for i, x := range all {
		for _, y := range all[i+1:] {
			if x.Task != y.Task {
				continue
			}
			from, to := max(x.Start, y.Start), min(until(x, now), until(y, now))
			if to-from > 10*time.Millisecond {
				r.record.Add("TWICE for %.3f s: %v and %v", (to - from).Seconds(), x, y)
				found = fmt.Sprintf("TWICE: %v and %v", x, y)
			}
		}
	}
	return found
}

func until(i Interval, now time.Duration) time.Duration {
	if i.End == 0 {
		return now
	}
	return i.End
}

const (
	restartGrace = 6 * time.Second // from the last run of a task that lasts
	idleLimit    = 3 * time.Second
	calmBefore   = 4 * time.Second // before the time without a run
)

// failingWatch hands in a lasting submission whose tasks fail soon after each start,
// and later one that works.
func failingWatch(r *run) (string, error) {
	if err := r.Configure(Manifest(1, NewRoute("r-1", host, prefix))); err != nil {
		return "", err
	}
	const failing, working = "00000000000000b1", "00000000000000b2"
	watch := Step{Count: 12, CPU: 16_000, Memory: 500, Estimate: 1000, Lasting: true}
	if r.trouble {
		if err := r.Submit(host, prefix, failing, "fail=100", watch); err != nil {
			return "", err
		}
	}
	time.Sleep(17 * time.Second)
	if err := r.Submit(host, prefix, working, "last", Step{Count: 3, CPU: 16_000, Memory: 500, Estimate: 1000, Lasting: true}); err != nil {
		return "", err
	}
	accepted := r.record.Now()
	time.Sleep(33 * time.Second)
	broken := r.idle(working, accepted, 0, 3)
	if r.trouble {
		r.idle(failing, accepted, restartGrace, 12)
	}
	return broken, nil
}

// idle returns a task of a lasting submission that did not run for idleLimit. Time
// counts from calmBefore after from, and from grace after the end of the task's last
// run.
func (r *run) idle(job string, from, grace time.Duration, tasks int) string {
	found := ""
	now := r.record.Now()
	for index := range tasks {
		task := fmt.Sprintf("%s.0.0.%d", job, index)
		free := from
		for _, i := range r.runsOf(task) {
			if i.Start-free >= idleLimit {
				found = fmt.Sprintf("LOST: %s could run and did not from %.3f s to %.3f s", task, free.Seconds(), i.Start.Seconds())
				r.record.Add("%s", found)
			}
			free = max(free, until(i, now)+grace)
		}
		if now-free >= idleLimit {
			found = fmt.Sprintf("LOST: %s could run and did not from %.3f s to %.3f s", task, free.Seconds(), now.Seconds())
			r.record.Add("%s", found)
		}
	}
	return found
}

// runsOf returns the runs of a task in order.
func (r *run) runsOf(task string) []Interval {
	var list []Interval
	for _, runner := range r.Runners {
		for _, i := range runner.Intervals() {
			if i.Task == task {
				list = append(list, i)
			}
		}
	}
	slices.SortFunc(list, func(x, y Interval) int { return cmp.Compare(x.Start, y.Start) })
	return list
}

const (
	configApply = 2 * time.Second        // configApplyMs
	cancelTime  = 3 * time.Second        // cancel_ms
	stopTimeout = 900 * time.Millisecond // stopTimeoutMs
)

// droppedRoute removes the route of a submission that is at work, while a route with
// a shorter prefix stays. Then it asks for the submission and cancels it.
func droppedRoute(r *run) (string, error) {
	short, long := NewRoute("r-1", host, "/"), NewRoute("r-2", host, prefix)
	if err := r.Configure(Manifest(1, short, long)); err != nil {
		return "", err
	}
	const job = "00000000000000c1"
	if err := r.Submit(host, prefix, job, "last", Step{Count: 2, CPU: 4000, Memory: 500, Estimate: 1000, Lasting: true}); err != nil {
		return "", err
	}
	time.Sleep(4 * time.Second)
	routes := []Route{short, long}
	if r.trouble {
		routes = []Route{short}
	}
	if err := r.Configure(Manifest(2, routes...)); err != nil {
		return "", err
	}
	time.Sleep(configApply + 3*time.Second)
	broken := ""
	for entry := range entryCount {
		if status, _ := r.State(entry, host, prefix, job); status == 410 {
			broken = fmt.Sprintf("LOST: entry-%d answers 410 for a submission that was accepted and is at work", entry+1)
			r.record.Add("%s", broken)
		}
	}
	status, _ := r.Client(0, "DELETE", host, prefix+job, nil)
	if status != 200 && status != 410 {
		return broken, nil
	}
	time.Sleep(cancelTime + stopTimeout + 8*time.Second)
	for index := range 2 {
		task := fmt.Sprintf("%s.0.0.%d", job, index)
		for _, i := range r.runsOf(task) {
			if i.End == 0 {
				r.record.Add("UNASKED: %s runs on, and its cancelling was answered with %d", i, status)
			}
		}
	}
	return broken, nil
}
