package main

import (
	"fmt"
	"net/http"
	"time"
)

// newRunners returns runners of 32 cores and 125 GB, one to a machine, three to a rack.
func newRunners(count int, r *record, n need, workOf func(task string) time.Duration) []*runner {
	var all []*runner
	for i := range count {
		all = append(all, &runner{
			id: fmt.Sprintf("i-7f3a91%02d", i+1), rack: fmt.Sprintf("r1-%d", i/3+1), zone: "ibadan", service: service,
			room: need{32000, 128000}, kind: "a", holdMax: holdMaxMS, workOf: workOf, needOf: func(string) need { return n }, record: r,
		})
	}
	return all
}

// boot starts a world with a manifest in force and its runners checked in.
func boot(folder string, r *record, runners []*runner, attempts int) (*world, error) {
	w, err := newWorld(folder, r, runners)
	if err != nil {
		return w, err
	}
	if err := w.put(manifest(7, attempts)); err != nil {
		return w, err
	}
	w.bootTrue = false
	if err := w.startRunners(); err != nil {
		return w, err
	}
	time.Sleep(contactMS*time.Millisecond + time.Second)
	return w, nil
}

// countOfWaiting: one of eight runners rejects starts while it answers all other calls.
func countOfWaiting(folder string, r *record, trouble bool) ([]string, error) {
	const submissions = 12
	runners := newRunners(8, r, need{500, 960}, func(string) time.Duration { return 800 * time.Millisecond })
	w, err := boot(folder, r, runners, 3)
	if w != nil {
		defer w.close()
	}
	if err != nil {
		return nil, err
	}
	if trouble {
		r.add("%s is unhealthy", runners[0].id)
		runners[0].setUnhealthy(true)
		time.AfterFunc(6500*time.Millisecond, func() {
			runners[0].setUnhealthy(false)
			r.add("%s is healthy", runners[0].id)
		})
	}
	accepted := map[string]time.Duration{}
	for i := range submissions {
		s := submission{Spec: "quote", Steps: []step{{Count: 2, CPU: 500, MemMB: 960, EstimateMS: 800}}}
		if status := w.submit(idOf(i), s); status != http.StatusOK {
			return nil, cannotRun("submission %d: %d", i, status)
		}
		accepted[idOf(i)] = time.Since(r.started)
	}
	time.Sleep(visibleMS*time.Millisecond + 2200*time.Millisecond)
	var breaks []string
	for _, p := range w.entries {
		before := time.Since(r.started)
		waiting, status := w.waiting(p)
		owed := notBegun(r.all(), accepted, before-(visibleMS+2000)*time.Millisecond)
		r.add("%d submissions were accepted over %d ms before and have not begun", owed, visibleMS+2000)
		if status == http.StatusOK && 2*waiting < owed {
			breaks = append(breaks, fmt.Sprintf("MIXED: %s gives %d as waiting, while %d submissions were accepted over %d ms before and have not begun", p.name, waiting, owed, visibleMS+2000))
		}
	}
	time.Sleep(6 * time.Second)
	for i := range submissions {
		w.state(idOf(i))
	}
	return breaks, nil
}

// notBegun counts the submissions accepted before the time of which no task has begun.
func notBegun(events []event, accepted map[string]time.Duration, before time.Duration) int {
	begun := map[string]bool{}
	for _, e := range events {
		if len(e.task) >= 16 {
			begun[e.task[:16]] = true
		}
	}
	count := 0
	for id, at := range accepted {
		if at < before && !begun[id] {
			count++
		}
	}
	return count
}

// idleService: after the end of the traffic, one of eight idle runners rejects starts while
// a submission with a time becomes due.
func idleService(folder string, r *record, trouble bool) ([]string, error) {
	const traffic, due = 6, finishS*time.Second + 4*time.Second
	runners := newRunners(8, r, need{500, 960}, func(string) time.Duration { return 800 * time.Millisecond })
	w, err := boot(folder, r, runners, 3)
	if w != nil {
		defer w.close()
	}
	if err != nil {
		return nil, err
	}
	timed, dueAt := idOf(99), time.Now().Add(due)
	steps := []step{{Count: 2, CPU: 500, MemMB: 960, EstimateMS: 800}}
	if status := w.submit(timed, submission{Spec: "timed", Steps: steps, StartAtMS: dueAt.UnixMilli(), IntervalMS: 1000, RepeatCount: 1}); status != http.StatusOK {
		return nil, cannotRun("timed submission: %d", status)
	}
	for i := range traffic {
		if status := w.submit(idOf(i), submission{Spec: "quote", Steps: steps}); status != http.StatusOK {
			return nil, cannotRun("submission %d: %d", i, status)
		}
	}
	ended := time.Now()
	r.add("the traffic has ended")
	time.Sleep(time.Until(dueAt) - 200*time.Millisecond)
	if trouble {
		r.add("%s is unhealthy", runners[0].id)
		runners[0].setUnhealthy(true)
		time.AfterFunc(6500*time.Millisecond, func() {
			runners[0].setUnhealthy(false)
			r.add("%s is healthy", runners[0].id)
		})
	}
	time.Sleep(time.Until(dueAt) + 11*time.Second)
	w.state(timed)
	turn, first, busy := dueAt.Sub(r.started), time.Duration(0), 0
	for _, e := range r.all() {
		switch {
		case e.how == "" && e.task[:16] == timed && first == 0:
			first = e.at
		case e.how == "done" && e.task[:16] != timed && e.at >= turn:
			busy++ // its run was at work after the turn came
		}
	}
	r.add("the turn came at %.3f s, %.1f s after the end of the traffic; the first task began at %.3f s; %d other runs", turn.Seconds(), dueAt.Sub(ended).Seconds(), first.Seconds(), busy)
	if busy > 0 {
		return nil, cannotRun("the service was not idle")
	}
	if first == 0 || first-turn > 3*time.Second {
		return []string{fmt.Sprintf("LOST: submission %s has nothing running from %.3f s, when the turn of its tasks came, to %.3f s, while seven of eight runners were sound and idle", timed, turn.Seconds(), first.Seconds())}, nil
	}
	return nil, nil
}

// lastingSubmission has tasks that last and require the label b.
func lastingSubmission(count int) submission {
	return submission{Spec: "watch", Steps: []step{{Count: count, CPU: 500, MemMB: 960, EstimateMS: 320, Lasts: true, Requirements: "b"}}}
}

// begins returns when tasks of the submission began after the time, the first first.
func begins(events []event, id string, after time.Duration) []time.Duration {
	var all []time.Duration
	for _, e := range events {
		if e.how == "" && e.at > after && e.task[:16] == id {
			all = append(all, e.at)
		}
	}
	return all
}

// restartUnderTheSameID: the only runner that watchers may use crashes and starts again
// under its id half a second later.
func restartUnderTheSameID(folder string, r *record, trouble bool) ([]string, error) {
	const watchers, down, allowed = 3, 500 * time.Millisecond, 9500 * time.Millisecond
	quick := idOf(0)[:12]
	runners := newRunners(8, r, need{500, 960}, func(task string) time.Duration {
		if task[:12] == quick && task[:16] != idOf(1) {
			return 300 * time.Millisecond
		}
		return 0
	})
	for _, x := range runners {
		x.holdMax = 10000 // of vhd-greenport
	}
	special := runners[7]
	special.kind = "b"
	w, err := boot(folder, r, runners, 3)
	if w != nil {
		defer w.close()
	}
	if err != nil {
		return nil, err
	}
	if status := w.submit(idOf(1), lastingSubmission(watchers)); status != http.StatusOK {
		return nil, cannotRun("watchers: %d", status)
	}
	for i := range 30 { // quick work for the same runner, so that calls are under way
		s := submission{Spec: "quick", Steps: []step{{Count: 3, CPU: 500, MemMB: 960, EstimateMS: 300, Requirements: "b"}}}
		if status := w.submit(idOf(10+i), s); status != http.StatusOK {
			return nil, cannotRun("quick submission %d: %d", i, status)
		}
		if i == 20 && trouble {
			special.crash(down)
		}
		time.Sleep(60 * time.Millisecond)
	}
	struck := time.Duration(0)
	for _, e := range r.all() {
		if e.how == "crash" {
			struck = e.at
		}
	}
	time.Sleep(14 * time.Second)
	if !trouble {
		if len(begins(r.all(), idOf(1), 0)) == watchers {
			return nil, nil
		}
		return nil, cannotRun("the watchers did not run")
	}
	again := begins(r.all(), idOf(1), struck)
	r.add("the last runs of the watchers ended at %.3f s; they began again at %v", struck.Seconds(), again)
	if len(again) == 0 || again[0]-struck > allowed {
		return []string{fmt.Sprintf("LOST: the watchers have nothing running from %.3f s, when their runner crashed for %s, to %v, while that runner and all others were up, checked in and empty", struck.Seconds(), down, again)}, nil
	}
	return nil, nil
}
