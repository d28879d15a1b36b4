package overload

import (
	"cmp"
	"math/rand/v2"
	"os"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/ibispier/ibispier/internal/testseed"
)

func TestMain(m *testing.M) {
	testseed.Fix()
	os.Exit(m.Run())
}

func drawJobs(t *rapid.T, most int) []Job {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Job {
		return Job{DueMillis: rapid.Int64Range(0, 60).Draw(t, "due"), PathMillis: rapid.Int64Range(0, 20).Draw(t, "path"), Work: rapid.Int64Range(1, 30).Draw(t, "work")}
	}), 0, most).Draw(t, "jobs")
}

// inTime reports whether all jobs of a set are in time in the order of their latest starts.
func inTime(jobs []Job, rate float64) bool {
	slices.SortFunc(jobs, func(x, y Job) int { return cmp.Compare(x.latestStartMillis(), y.latestStartMillis()) })
	work := 0.0
	for _, j := range jobs {
		if work += float64(j.Work); work/rate > float64(j.latestStartMillis()) {
			return false
		}
	}
	return true
}

// Guards against jobs that are delayed although they could be in time, against kept jobs
// that cannot all be in time, and against a job that is kept while one with less work and
// more time is delayed.
func TestDelaysAsFewJobsAsPossible(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		jobs, rate := drawJobs(t, 8), float64(rapid.IntRange(1, 4).Draw(t, "rate"))
		postponed := Postpone(0, rate, 0, jobs)
		var kept []Job
		for i, j := range jobs {
			if !postponed[i] {
				kept = append(kept, j)
			}
		}
		if !inTime(slices.Clone(kept), rate) {
			t.Fatalf("the kept jobs %+v are not in time", kept)
		}
		for set := range 1 << len(jobs) {
			var other []Job
			for i, j := range jobs {
				if set&(1<<i) != 0 {
					other = append(other, j)
				}
			}
			if len(other) > len(kept) && inTime(other, rate) {
				t.Fatalf("%d of %d jobs are kept, %+v could be", len(kept), len(jobs), other)
			}
		}
		for i, x := range jobs {
			for k, y := range jobs {
				if postponed[i] && !postponed[k] && x.Work < y.Work && x.latestStartMillis() > y.latestStartMillis() {
					t.Fatalf("%+v is delayed for %+v", x, y)
				}
			}
		}
	})
}

// Guards against a job that gains room by asking for more, or by being due earlier.
func TestDelayIsMonotone(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		jobs := drawJobs(t, 12)
		if len(jobs) == 0 {
			return
		}
		rate := float64(rapid.IntRange(1, 4).Draw(t, "rate"))
		i := rapid.IntRange(0, len(jobs)-1).Draw(t, "job")
		if !Postpone(0, rate, 0, jobs)[i] {
			return
		}
		worse := slices.Clone(jobs)
		worse[i].Work += rapid.Int64Range(1, 10).Draw(t, "more work")
		if !Postpone(0, rate, 0, worse)[i] {
			t.Fatal("a delayed job is kept when it needs more work")
		}
		if !Postpone(0, rate, 10, jobs)[i] {
			t.Fatal("a delayed job is kept when more work is ahead")
		}
	})
}

// Guards against delays by a leader that has measured nothing yet, or for too short.
func TestUnknownRateDelaysNobody(t *testing.T) {
	var r Rate
	if rate := r.PerMilli(time.Minute); rate != 0 {
		t.Fatalf("rate %v without observations", rate)
	}
	r.Observe(time.Minute, 1000)
	if rate := r.PerMilli(time.Minute + time.Second); rate != 0 {
		t.Fatalf("rate %v after a second", rate)
	}
	if Postpone(0, 0, 0, []Job{{DueMillis: 1, Work: 1 << 40}})[0] {
		t.Fatal("delayed without a rate")
	}
}

// Guards against a rate that takes a lack of work for a lack of room.
func TestRateRemembersTheRoomOfABusyTime(t *testing.T) {
	var r Rate
	now := time.Hour
	for range 100 {
		now += 100 * time.Millisecond
		r.Observe(now, 100_000)
	}
	busy := r.PerMilli(now)
	if busy < 900 || busy > 1100 {
		t.Fatalf("rate %v, want about 1000", busy)
	}
	idle := r.PerMilli(now + 5*time.Second)
	if idle < 0.7*busy || idle >= busy {
		t.Fatalf("rate %v after 5 idle seconds, want a little below %v", idle, busy)
	}
}

// Plays the load of a heavy day: jobs whose work differs a hundredfold arrive at 1.6 times
// the room, with estimates that are off by half, and are wanted within twice their path
// plus a second. Guards against an order that serves fewer callers in time than the
// deadlines alone, first come first served, or the shortest first do, or that never
// finishes the largest.
func TestMoreCallersInTimeThanByOtherOrders(t *testing.T) {
	// The default order: by deadline, and behind them the jobs that cannot be in time
	// even if they get all room.
	byDeadline := playLoad(func(now int64, j []simulated) {
		sortBy(j, func(x simulated) int64 {
			if x.latestStartMillis() < now {
				return 1<<40 + x.DueMillis
			}
			return x.DueMillis
		})
	})
	fifo := playLoad(func(_ int64, j []simulated) { sortBy(j, func(x simulated) int64 { return x.at }) })
	shortest := playLoad(func(_ int64, j []simulated) { sortBy(j, func(x simulated) int64 { return x.Work }) })
	cost := playLoad(func(now int64, jobs []simulated) {
		plain := make([]Job, len(jobs))
		for i := range jobs {
			plain[i] = jobs[i].Job
		}
		postponed := Postpone(now, simulatedCores*1000, 0, plain)
		for i := range jobs {
			jobs[i].rank = jobs[i].latestStartMillis()
			if postponed[i] {
				jobs[i].rank = 1<<40 + jobs[i].Work
			}
		}
		sortBy(jobs, func(x simulated) int64 { return x.rank })
	})
	t.Logf("in time of %d: deadline %d, fifo %d, shortest first %d, by cost %d; of the largest tenth: %d, %d, %d, %d",
		simulatedJobs, byDeadline.inTime, fifo.inTime, shortest.inTime, cost.inTime, byDeadline.largest, fifo.largest, shortest.largest, cost.largest)
	if cost.inTime <= byDeadline.inTime || cost.inTime <= fifo.inTime || cost.inTime < shortest.inTime {
		t.Errorf("in time: by cost %d, deadline %d, fifo %d, shortest first %d", cost.inTime, byDeadline.inTime, fifo.inTime, shortest.inTime)
	}
	if cost.finished != simulatedJobs {
		t.Errorf("%d of %d jobs finished", cost.finished, simulatedJobs)
	}
}

const (
	simulatedJobs  = 400
	simulatedCores = 200
	meanGapMillis  = 190 // 1.6 times the room
)

type simulated struct {
	Job
	at, left, rank int64
	size, area     int64
}

type playResult struct{ inTime, finished, largest int }

func sortBy(jobs []simulated, key func(simulated) int64) {
	slices.SortStableFunc(jobs, func(x, y simulated) int { return cmp.Compare(key(x), key(y)) })
}

// playLoad works off the jobs in steps of 10 ms in the given order. A job uses at most the
// processors of its width at a time.
func playLoad(order func(now int64, jobs []simulated)) playResult {
	const step = 10
	random := rand.New(rand.NewPCG(7, 9))
	var waiting, future []simulated
	at := int64(0)
	for range simulatedJobs {
		width := 2 + int64(200*random.Float64()*random.Float64()*random.Float64())
		path := int64(800 + random.IntN(3000))
		work := width * 1000 * path
		estimate := int64(float64(work) * (0.5 + random.Float64()))
		at += int64(random.ExpFloat64() * meanGapMillis)
		future = append(future, simulated{Job: Job{DueMillis: at + 2*path + 1000, PathMillis: path, Work: estimate}, at: at, left: work, size: width, area: width * path})
	}
	sizes := make([]int64, 0, len(future))
	for _, j := range future {
		sizes = append(sizes, j.size*j.PathMillis)
	}
	slices.Sort(sizes)
	large := sizes[len(sizes)*9/10]

	var result playResult
	for now := int64(0); len(waiting)+len(future) > 0 && now < 3_600_000; now += step {
		for len(future) > 0 && future[0].at <= now {
			waiting, future = append(waiting, future[0]), future[1:]
		}
		order(now, waiting)
		room := int64(simulatedCores)
		for i := range waiting {
			used := min(room, waiting[i].size)
			room -= used
			waiting[i].left -= used * 1000 * step
			before := waiting[i].Work
			waiting[i].Work = max(before-used*1000*step, 1)
			waiting[i].PathMillis = waiting[i].PathMillis * waiting[i].Work / before
		}
		waiting = slices.DeleteFunc(waiting, func(j simulated) bool {
			if j.left > 0 {
				return false
			}
			result.finished++
			if now <= j.DueMillis {
				result.inTime++
				if j.area >= large {
					result.largest++
				}
			}
			return true
		})
	}
	return result
}
