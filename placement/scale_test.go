package placement

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/ibispier/ibispier/resource"
)

// The expected size of the system in two years, from the design page.
const (
	scaleWorkers  = 4_000
	scaleServices = 8_700
	scaleBatch    = 38_000
	scaleTeams    = 86
	scaleZones    = 23
	scaleClasses  = 20
)

// newScaleScheduler returns a scheduler with 46,700 tasks on 4,000 workers, whose
// model has estimates for every pair of classes.
func newScaleScheduler() (*Scheduler, time.Time) {
	s, now := New(Options{}), epoch
	for i := range scaleWorkers {
		s.SetWorker(Worker{
			ID: fmt.Sprint("w", i), Zone: fmt.Sprint("zone", i%scaleZones), Rack: fmt.Sprint("rack", i/scaleZones/3),
			Capacity: resource.Vector{CPUMilli: 64_000, MemoryMiB: 250_000, Accelerators: int64(i % 8 / 7 * 4)},
		}, now)
	}
	for i := range scaleTeams {
		s.SetQuota(fmt.Sprint("team", i), Quota{Limit: resource.Vector{CPUMilli: 1 << 40, MemoryMiB: 1 << 40, Accelerators: 1 << 20}, Tasks: 1 << 20})
	}
	for i := range scaleServices {
		task := scaleTask(fmt.Sprint("service", i), i)
		task.Kind, task.Class = Service, fmt.Sprint("service", i%4)
		s.RecordPlacement(task, fmt.Sprint("w", i%scaleWorkers), now)
	}
	for i := range scaleBatch {
		s.RecordPlacement(scaleTask(fmt.Sprint("batch", i), i), fmt.Sprint("w", i*7%scaleWorkers), now)
	}
	now = now.Add(time.Second)
	for i := range 400 {
		w := s.cache.workers[i]
		var usage []Usage
		for _, t := range w.tasks {
			usage = append(usage, Usage{Task: t.ID, Used: t.Size, Slowdown: 1.1, MeasuredAt: now})
		}
		s.Observe(w.ID, usage, now)
	}
	return s, now
}

func scaleTask(id string, i int) Task {
	return Task{
		ID: id, Customer: fmt.Sprint("team", i%scaleTeams), Class: fmt.Sprint("class", i%scaleClasses),
		Size: resource.Vector{CPUMilli: int64(1+i%6) * 1000, MemoryMiB: int64(1+i%5) * 2000},
	}
}

// BenchmarkPlacement measures the placements per second on one core. The target
// from the design page is at least 5,000.
func BenchmarkPlacement(b *testing.B) {
	s, now := newScaleScheduler()
	const batch = 500
	placed := 0
	b.ResetTimer()
	for i := 0; b.Loop(); i++ {
		now = now.Add(100 * time.Millisecond)
		for j := range batch {
			s.Submit(scaleTask(fmt.Sprint("new", i, "-", j), j), now)
		}
		for _, p := range s.Step(now).Placements {
			placed++
			s.RecordEnd(p.Task, false, now)
		}
	}
	rate := float64(placed) / b.Elapsed().Seconds()
	b.ReportMetric(rate, "placements/s")
	if b.N > 3 && rate < 5_000 {
		b.Errorf("%.0f placements per second, want at least 5000", rate)
	}
}

// BenchmarkFullCluster measures a step with 20,000 pending tasks that fit no
// worker.
func BenchmarkFullCluster(b *testing.B) {
	s, now := newScaleScheduler()
	for i := range 20_000 {
		task := scaleTask(fmt.Sprint("large", i), i)
		task.Size.CPUMilli = 60_000
		s.Submit(task, now)
	}
	s.Step(now)
	b.ResetTimer()
	for b.Loop() {
		now = now.Add(100 * time.Millisecond)
		s.Step(now)
	}
}

// Guards against urgent tasks that wait behind normal ones, and against steps that
// take longer than their interval: 700 tasks are submitted each second, one in
// fifty of them urgent, while 20,000 pending tasks fit no worker.
func TestUrgentPlacedInTimeAtScale(t *testing.T) {
	if testing.Short() {
		t.Skip("measures time, which the race detector distorts")
	}
	s, now := newScaleScheduler()
	for i := range 20_000 {
		task := scaleTask(fmt.Sprint("large", i), i)
		task.Size.CPUMilli = 60_000
		s.Submit(task, now)
	}
	const interval = 50 * time.Millisecond
	submitted := map[string]time.Time{}
	worst, busy, starts := time.Duration(0), time.Duration(0), 0
	for i := range 100 {
		for j := range 35 {
			task := scaleTask(fmt.Sprint("new", i, "-", j), j)
			task.Urgent = (i*35+j)%50 == 0
			if task.Urgent {
				submitted[task.ID] = now
			}
			s.Submit(task, now)
		}
		// A task that arrives just after a step waits for the next one.
		now = now.Add(interval)
		began := time.Now()
		d := s.Step(now)
		cost := time.Since(began)
		busy += cost
		for _, p := range d.Placements {
			starts++
			if since, urgent := submitted[p.Task]; urgent {
				worst = max(worst, now.Sub(since)+cost)
				delete(submitted, p.Task)
			}
			s.RecordEnd(p.Task, false, now)
		}
		now = now.Add(max(0, cost-interval))
	}
	t.Logf("starts=%d urgent_worst=%s step_mean=%s", starts, worst, busy/100)
	if starts != 3_500 || len(submitted) > 0 || worst > 1100*time.Millisecond {
		t.Fatalf("%d of 3500 started, %d urgent not placed, longest wait %s, want at most 1.1 s", starts, len(submitted), worst)
	}
}

// Guards against a cache that exceeds the memory for control state, which is
// 256 MiB in all.
func TestMemoryAtScale(t *testing.T) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	s, _ := newScaleScheduler()
	runtime.GC()
	runtime.ReadMemStats(&after)
	used := float64(after.HeapAlloc-before.HeapAlloc) / (1 << 20)
	t.Logf("cache_mib=%.1f", used)
	if used > 256 {
		t.Fatalf("%.0f MiB, want at most 256", used)
	}
	runtime.KeepAlive(s)
}
