package quarantine

import (
	"fmt"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/ibispier/ibispier/internal/testseed"
)

func TestMain(m *testing.M) {
	testseed.Fix()
	os.Exit(m.Run())
}

var epoch = time.Unix(1_700_000_000, 0)

func ExampleMatrix() {
	m := New(Options{})
	for i := range 4 {
		m.Record(Outcome{Job: fmt.Sprint("job-", i), Worker: "worker-1", Failed: true, At: epoch})
		m.Record(Outcome{Job: fmt.Sprint("job-", i), Worker: "worker-2", At: epoch})
	}
	for _, e := range m.Evaluate(epoch) {
		fmt.Println(e.Kind, e.Name, e.State, "-", e.Reason)
	}
	// Output: worker worker-1 quarantined - failed 4 jobs, fault probability 0.81
}

// Guards against attributing the failures of faulty workers to jobs, or the
// reverse. Faulty jobs and workers are drawn at random, every job runs on several
// workers, and a few healthy pairs fail by chance. Exactly the faulty subjects
// must be quarantined.
func TestTellsJobsFromWorkers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		workers := rapid.IntRange(8, 22).Draw(t, "workers")
		jobs := rapid.IntRange(30, 60).Draw(t, "jobs")
		faultyWorkers := drawSet(t, "faulty worker", workers, 2)
		faultyJobs := drawSet(t, "faulty job", jobs, 5)
		m := New(Options{MaxWorkerShare: 0.5})
		m.SetWorkerCount(workers)
		attempts := rapid.IntRange(5, 8).Draw(t, "attempts")
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		for j := range jobs {
			first, noisyAttempt := random.IntN(workers), random.IntN(200)
			for a := range attempts {
				w := (first + a) % workers
				isNoise := a == noisyAttempt
				m.Record(Outcome{
					Job: fmt.Sprint(j), Worker: fmt.Sprint(w), At: epoch,
					Failed: faultyJobs[j] || faultyWorkers[w] || isNoise,
				})
			}
		}
		m.Evaluate(epoch)
		for j := range jobs {
			checkState(t, m, Job, j, faultyJobs[j])
		}
		for w := range workers {
			if worker := m.workers[fmt.Sprint(w)]; worker != nil {
				checkState(t, m, Worker, w, faultyWorkers[w] && worker.failureCount() >= 3)
			}
		}
	})
}

func drawSet(t *rapid.T, label string, limit, most int) map[int]bool {
	set := map[int]bool{}
	for range rapid.IntRange(0, most).Draw(t, label+"s") {
		set[rapid.IntRange(0, limit-1).Draw(t, label)] = true
	}
	return set
}

func checkState(t *rapid.T, m *Matrix, kind Kind, i int, faulty bool) {
	if got := m.Status(kind, fmt.Sprint(i)); (got.State == Quarantined) != faulty {
		t.Fatalf("%s %d faulty=%t: got %+v, fault probability %.2f", kind, i, faulty, got, m.find(kind, fmt.Sprint(i)).faultProbability)
	}
}

// Guards against a worker that is never released from quarantine, that is
// released without probation, or whose second term is not longer than its first.
func TestProbationReleasesOrDoublesTheTerm(t *testing.T) {
	m, now := New(Options{}), epoch
	fail := func(from, to int) {
		for i := from; i < to; i++ {
			m.Record(Outcome{Job: fmt.Sprint(i), Worker: "w", Failed: true, At: now})
		}
		m.Evaluate(now)
	}
	expect := func(want State) {
		t.Helper()
		m.Evaluate(now)
		if got := m.Status(Worker, "w"); got.State != want {
			t.Fatalf("got %+v, want %s", got, want)
		}
	}
	fail(0, 4)
	expect(Quarantined)
	now = now.Add(10 * time.Minute)
	expect(Probation)
	fail(4, 5)
	expect(Quarantined)
	now = now.Add(10 * time.Minute)
	expect(Quarantined)
	now = now.Add(10 * time.Minute)
	expect(Probation)
	for i := range 3 {
		m.Record(Outcome{Job: fmt.Sprint("ok", i), Worker: "w", At: now})
	}
	expect(Clear)
}

// Guards against quarantining most workers when the cause is in the jobs: a
// faulty release by one customer fails on every worker.
func TestBoundsTheQuarantinedWorkers(t *testing.T) {
	m := New(Options{})
	m.SetWorkerCount(10)
	for w := range 10 {
		for j := range 4 {
			m.Record(Outcome{Job: fmt.Sprint(w, "-", j), Worker: fmt.Sprint(w), Failed: true, At: epoch})
		}
	}
	m.Evaluate(epoch)
	if n := len(m.Entries()); n > 2 {
		t.Fatalf("%d subjects quarantined, want at most a fifth of 10 workers", n)
	}
}

// Guards against wrong declared run times that are not detected, and against
// detection from too few runs.
func TestRunTimesFarOff(t *testing.T) {
	r := NewRunTimes()
	for i := range 6 {
		if _, misdeclared := r.Misdeclared("scan"); misdeclared != (i >= minSamples) {
			t.Fatalf("after %d runs: misdeclared is %t", i, misdeclared)
		}
		r.Record("scan", time.Minute, 10*time.Minute)
	}
	if got := r.Expected("scan", time.Minute).Round(time.Second); got != 10*time.Minute {
		t.Fatalf("expected run time is %s, want 10m", got)
	}
	if r.IsOverdue("scan", time.Minute, 30*time.Minute) || !r.IsOverdue("scan", time.Minute, 50*time.Minute) {
		t.Fatal("IsOverdue does not use the corrected run time")
	}
}
