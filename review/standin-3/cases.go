package main

import (
	"fmt"
	"hash/fnv"
	"net/http"
	"slices"
	"time"
)

// newRunners returns runners of 32 cores and 125 GB, one to a machine, three to a rack.
func newRunners(count int, r *record, n need, workOf func(task string) time.Duration) []*runner {
	var all []*runner
	for i := range count {
		all = append(all, &runner{
			id: fmt.Sprintf("i-7f3a91%02d", i+1), rack: fmt.Sprintf("r1-%d", i/3+1), zone: "ibadan", service: service,
			room: need{32000, 128000}, kind: "a", workOf: workOf, needOf: func(string) need { return n }, record: r,
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

// spread returns a share from 0 to 1 that depends on the task alone.
func spread(task string) float64 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(task))
	return float64(h.Sum32()%1000) / 1000
}

// listOfEnds: many small tasks end while the core elects a leader, more of them on one
// runner than it lists at a time.
func listOfEnds(folder string, r *record, trouble bool) ([]string, error) {
	const submissions, width = 44, 36
	work := func(task string) time.Duration {
		return 7*time.Second + time.Duration(spread(task)*float64(1200*time.Millisecond))
	}
	runners := newRunners(3, r, need{20, 64}, work)
	w, err := boot(folder, r, runners, 3)
	if w != nil {
		defer w.close()
	}
	if err != nil {
		return nil, err
	}
	for i := range submissions {
		s := submission{Spec: "small", Steps: []step{{Count: width, CPU: 20, MemMB: 64, EstimateMS: 8000}}}
		if status := w.submit(idOf(i), s); status != http.StatusOK {
			return nil, cannotRun("submission %d: %d", i, status)
		}
	}
	most := 0
	watch := func(d time.Duration) {
		for until := time.Now().Add(d); time.Now().Before(until); time.Sleep(5 * time.Millisecond) {
			for _, x := range runners {
				most = max(most, x.listed())
			}
		}
	}
	for until := time.Now().Add(15 * time.Second); ; time.Sleep(5 * time.Millisecond) {
		if len(endsOf(r, "done")) >= 20 {
			break
		}
		if time.Now().After(until) {
			return nil, cannotRun("the tasks have not run")
		}
	}
	if trouble {
		p := w.leader()
		if p == nil {
			return nil, cannotRun("no leader")
		}
		w.kill(p)
		watch(3500 * time.Millisecond)
		if err := w.run(p); err != nil {
			return nil, err
		}
	}
	watch(12 * time.Second)
	r.add("most ends listed and not taken note of at one runner: %d", most)
	fmt.Println("most ends listed at one runner:", most)
	completed := 0
	for i := range submissions {
		if state, _ := w.state(idOf(i)); state == "completed" {
			completed++
		}
	}
	r.add("%d of %d submissions are shown as completed", completed, submissions)
	return twice(r.all()), nil
}

func endsOf(r *record, how string) []event {
	var ends []event
	for _, e := range r.all() {
		if e.how == how {
			ends = append(ends, e)
		}
	}
	return ends
}

// twice returns the breaks of TWICE: a start after a run has ended done, if note was taken
// of that end then or later, and two runs of a task at the same time. An end is left out if
// the lease of its runner lapsed between the end and the note.
func twice(events []event) []string {
	var breaks []string
	lapses := map[string][]time.Duration{}
	for _, e := range events {
		if e.how == "lease" {
			lapses[e.runner] = append(lapses[e.runner], e.at)
		}
	}
	counts := func(e event) bool {
		return e.how == "done" && e.noted > 0 && !slices.ContainsFunc(lapses[e.runner], func(at time.Duration) bool { return at >= e.at && at <= e.noted })
	}
	done, active := map[string]event{}, map[string]map[int]event{}
	for _, e := range events {
		switch {
		case e.how == "lease":
		case e.how != "":
			delete(active[e.task], e.run)
			if counts(e) {
				done[e.task] = e
			}
		default:
			if d, known := done[e.task]; known {
				breaks = append(breaks, fmt.Sprintf("TWICE: %s begins on %s at %.3f s, though %s has ended done on %s at %.3f s; note was taken of that end at %.3f s",
					runName(e.task, e.run), e.runner, e.at.Seconds(), runName(d.task, d.run), d.runner, d.at.Seconds(), d.noted.Seconds()))
			}
			for run, other := range active[e.task] {
				breaks = append(breaks, fmt.Sprintf("TWICE: %s begins on %s at %.3f s while %s runs on %s", runName(e.task, e.run), e.runner, e.at.Seconds(), runName(e.task, run), other.runner))
			}
			if active[e.task] == nil {
				active[e.task] = map[int]event{}
			}
			active[e.task][e.run] = e
		}
	}
	return breaks
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

// kindOfTheNextLife: a runner starts again under its id as another kind, and checks in a
// second after it has begun to serve.
func kindOfTheNextLife(folder string, r *record, trouble bool) ([]string, error) {
	runners := newRunners(8, r, need{500, 960}, func(string) time.Duration { return 500 * time.Millisecond })
	special := runners[7]
	special.kind, special.nextKind, special.quiet = "b", "a", time.Second
	w, err := boot(folder, r, runners, 3)
	if w != nil {
		defer w.close()
	}
	if err != nil {
		return nil, err
	}
	const submissions, crashAt = 60, 20
	for i := range submissions {
		if trouble && i == crashAt {
			special.crash(600 * time.Millisecond)
		}
		s := submission{Spec: "labelled", Steps: []step{{Count: 2, CPU: 500, MemMB: 960, EstimateMS: 500, Requirements: "b"}}}
		if status := w.submit(idOf(i), s); status != http.StatusOK {
			return nil, cannotRun("submission %d: %d", i, status)
		}
		time.Sleep(80 * time.Millisecond)
	}
	time.Sleep(3 * time.Second)
	var breaks []string
	for _, e := range r.all() {
		if e.how == "" && e.kind != "b" {
			breaks = append(breaks, fmt.Sprintf("ROUTE: %s, which requires the label b, begins at %.3f s on %s, which has the label %s", runName(e.task, e.run), e.at.Seconds(), e.runner, e.kind))
		}
	}
	return breaks, nil
}
