package dispatch

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/ibispier/ibispier/job"
)

// playSmallJobs keeps a backlog of small jobs in the queue of the large one while a
// quarter of the tasks ends in each round, and returns the round in which a task of the
// large job starts, or -1.
func playSmallJobs(t *testing.T, d *Dispatcher, w *fixture, large string) int {
	random := rand.New(rand.NewPCG(1, 2))
	numbers := map[job.TargetIncarnation]uint64{}
	for round := range 40 {
		for range 40 {
			w.submitTo("/a/", 0, 0, tasksOf(20))
			w.submitTo("/b/", 0, 0, tasksOf(20))
		}
		starts := d.Run(w.input())
		w.store.Apply(&job.Command{Starts: starts})
		d.Settle(starts)
		for _, s := range starts {
			if s.Task.Job == large {
				return round
			}
		}
		for _, target := range w.targets {
			for ref, task := range w.store.TasksOn(target.Incarnation) {
				if random.IntN(4) > 0 {
					continue
				}
				numbers[target.Incarnation]++
				w.store.Apply(&job.Command{Ends: []job.End{{Target: target.Incarnation, Number: numbers[target.Incarnation], Task: ref, Run: task.Run, Outcome: job.RunDone}}})
			}
			d.TasksChanged(target.Incarnation)
		}
		if used := setAsideOf(d); used > setAsideShare*float64(len(w.targets)) {
			t.Fatalf("%g targets are set aside", used)
		}
	}
	return -1
}

func setAsideOf(d *Dispatcher) float64 {
	count := 0.0
	for _, ts := range d.targets {
		if ts.setAsideFor != "" {
			count++
		}
	}
	return count
}

// Guards against a gang, and a task that needs most of a target, that find their room
// never free at one time, because the small tasks of their queue and of another take
// each piece of it. Guards also against room that stays set aside once they run.
func TestLargeAgedJobsFindRoom(t *testing.T) {
	steps := map[string]job.Step{
		"gang":             {Count: 4, Need: cores(30), EstimateMillis: 1000, Gang: true},
		"gang in one rack": {Count: 4, Need: cores(30), EstimateMillis: 1000, Gang: true, SameRack: true},
		"large task":       {Count: 1, Need: cores(60), EstimateMillis: 1000},
	}
	for name, step := range steps {
		w := newFixture(8)
		for range 100 { // the room is full when the large job comes
			w.submitTo("/a/", 0, 0, tasksOf(10))
		}
		d := w.withShares(nil)
		starts := d.Run(w.input())
		w.store.Apply(&job.Command{Starts: starts})
		d.Settle(starts)
		large := w.submitTo("/a/", 0, time.Minute, step)
		round := playSmallJobs(t, d, w, large)
		if round < 0 {
			t.Errorf("%s: not started", name)
		}
		t.Logf("%s: started in round %d", name, round)
		d.Run(w.input())
		if n := setAsideOf(d); n > 0 {
			t.Errorf("%s: %g targets are still set aside", name, n)
		}
	}
}

// Guards against room that is set aside for a job that can never run, or that would need
// more of the room than may stay empty, and so keeps others from it for good.
func TestNoRoomIsSetAsideInVain(t *testing.T) {
	steps := map[string]job.Step{
		"unknown label":    {Count: 2, Need: cores(30), EstimateMillis: 1000, Gang: true, Label: "none"},
		"larger than all":  {Count: 1, Need: cores(65), EstimateMillis: 1000},
		"half of the room": {Count: 8, Need: cores(30), EstimateMillis: 1000, Gang: true},
		"small tasks":      {Count: 40, Need: cores(4), EstimateMillis: 1000},
	}
	for name, step := range steps {
		w := newFixture(8)
		w.submitTo("/a/", 0, 0, job.Step{Count: 8, Need: cores(50), EstimateMillis: 1000})
		d := w.withShares(nil)
		starts := d.Run(w.input())
		w.store.Apply(&job.Command{Starts: starts})
		d.Settle(starts)
		w.submitTo("/a/", 0, time.Minute, step)
		d.Run(w.input())
		if n := setAsideOf(d); n > 0 {
			t.Errorf("%s: %g targets are set aside", name, n)
		}
	}
}
