package experiment

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/ibispier/ibispier/placement"
	"github.com/ibispier/ibispier/resource"
)

// Parameters of the platform.
const (
	referenceLoad     = 0.7 // request load at which the interference coefficients apply in full
	tick              = 200 * time.Millisecond
	reportInterval    = time.Second
	reportLag         = 1500 * time.Millisecond
	reportNoise       = 0.05
	checkpointSeconds = 2.0 // the task makes no progress meanwhile
	restoreSeconds    = 3.0 // run time that a restart costs
	throttleFactor    = 0.5
	failAfterSeconds  = 2.0 // until a task fails if its job or worker is faulty
	zoneOutAt         = 300 * time.Second
	zoneNotice        = 10 * time.Second // from the announcement until the workers are gone
	zoneBackAt        = 420 * time.Second
	zoneWindowEnd     = 480 * time.Second
	faultyFrom        = 200 * time.Second
	faultyUntil       = 500 * time.Second
	cancelInterval    = 150 * time.Second
	noisyWavePeriod   = 240 * time.Second
	noisyWaveLength   = 90 * time.Second
)

// runningJob is a job that runs on a worker.
type runningJob struct {
	*job
	started        time.Duration
	throttled      bool
	evictionKind   placement.ActionKind
	evictsAt       time.Duration // 0 unless an eviction is in progress
	slowdown       float64
	worker         *workerModel
	uncheckpointed float64 // seconds of progress since the last checkpoint
}

// workerModel is the simulated state of a worker.
type workerModel struct {
	placement.Worker
	index           int
	cores           float64
	up              bool
	tasks           []*runningJob
	reports         []usageReport
	serviceSlowdown float64
}

type usageReport struct {
	at    time.Duration
	usage []placement.Usage
}

// world is the state of a simulation run.
type world struct {
	scenario           Scenario
	scheduler          *placement.Scheduler
	random             *rand.Rand
	interference       interferenceMatrix
	jobs               []job
	arrivedCount       int
	now                time.Duration
	workers            []*workerModel
	workersByID        map[string]*workerModel
	jobsByID           map[string]*job
	progress           map[string]float64 // completed seconds of run time without interference
	running            map[string]*runningJob
	requests           *requestLoad
	result             Result
	urgentSince        map[string]time.Duration // submission times of urgent jobs that wait
	reportedImpossible map[string]bool          // jobs that the scheduler holds because they can never run

	urgentWaits []float64 // seconds
}

var virtualEpoch = time.Unix(1_700_000_000, 0)

func (w *world) time() time.Time { return virtualEpoch.Add(w.now) }

func newWorld(s Scenario, o placement.Options, seed uint64) *world {
	workload := rand.New(rand.NewPCG(seed, 1))
	w := &world{
		scenario: s, scheduler: placement.New(o), random: rand.New(rand.NewPCG(seed, 3)),
		interference: drawInterference(workload), jobs: drawJobs(s, workload),
		workersByID: map[string]*workerModel{}, jobsByID: map[string]*job{}, progress: map[string]float64{},
		running: map[string]*runningJob{}, requests: newRequestLoad(s, seed),
		urgentSince: map[string]time.Duration{}, reportedImpossible: map[string]bool{},
	}
	for i := range s.Workers {
		w.addWorker(i)
	}
	limit := resource.Vector{CPUMilli: int64(s.Workers*s.Cores) * 600, MemoryMiB: int64(s.Workers*s.MemoryGiB) * 1024}
	for c := range customerCount {
		w.scheduler.SetQuota(fmt.Sprint("customer-", c), placement.Quota{Limit: limit, Tasks: 10_000})
	}
	return w
}

// addWorker adds a worker and the service that is bound to it. Each rack holds
// three workers, and racks are assigned to zones round robin.
func (w *world) addWorker(i int) {
	s := w.scenario
	rack := i / 3
	m := &workerModel{index: i, cores: float64(s.Cores), up: true, serviceSlowdown: 1}
	m.Worker = placement.Worker{
		ID: fmt.Sprintf("worker-%02d", i), Rack: fmt.Sprint(rack), Zone: fmt.Sprint("zone-", rack%s.Zones),
		Capacity: resource.Vector{CPUMilli: int64(s.Cores) * 1000, MemoryMiB: int64(s.MemoryGiB) * 1024},
	}
	w.workers = append(w.workers, m)
	w.workersByID[m.ID] = m
	w.scheduler.SetWorker(m.Worker, w.time())
	w.scheduler.RecordPlacement(w.service(m), m.ID, w.time())
}

func (w *world) service(m *workerModel) placement.Task {
	size := resource.Vector{CPUMilli: int64(serviceShare * m.cores * 1000), MemoryMiB: 16 * 1024}
	return placement.Task{ID: "service-" + m.ID, Customer: "desk", Kind: placement.Service, Class: "service", Size: size}
}

// updateSlowdowns computes the actual slowdown of the tasks and the service of
// every worker.
func (w *world) updateSlowdowns() {
	for _, m := range w.workers {
		var use [classCount]float64
		total := w.scenario.loadAt(w.now.Seconds()) * serviceShare
		for _, r := range m.tasks {
			use[r.class] += w.processorUse(r) / m.cores
			total += w.processorUse(r) / m.cores
		}
		contention := max(1, total)
		m.serviceSlowdown = contention * w.slowdown(classCount, use)
		for _, r := range m.tasks {
			others := use
			others[r.class] -= w.processorUse(r) / m.cores
			r.slowdown = contention * w.slowdown(r.class, others)
		}
		w.requests.runners[m.index].slowdown = m.serviceSlowdown
		w.requests.runners[m.index].up = m.up
	}
}

// slowdown returns the slowdown of a victim from the CPU usage of each aggressor
// class. It grows with the request load on the worker.
func (w *world) slowdown(victim int, use [classCount]float64) float64 {
	load := 0.5 + 0.5*w.scenario.loadAt(w.now.Seconds())/referenceLoad
	sum := 0.0
	for aggressor, u := range use {
		sum += w.interference[victim][aggressor] * u
	}
	return 1 + load*sum
}

// processorUse returns the number of cores that a job actually uses.
func (w *world) processorUse(r *runningJob) float64 {
	use := r.cores * r.useFactor
	if w.isNoisy(r.class) {
		use *= noisyFactor
	}
	if r.throttled || r.evictsAt > 0 {
		use *= throttleFactor
	}
	return use
}

// isNoisy reports whether a class is the noisy one at present. The class changes
// with every wave.
func (w *world) isNoisy(class int) bool {
	if !w.scenario.Faults || w.now%noisyWavePeriod < noisyWavePeriod-noisyWaveLength {
		return false
	}
	return int(w.now/noisyWavePeriod+1)%classCount == class
}

// sendReports takes a usage measurement on every worker and delivers the
// measurements that are at least reportLag old.
func (w *world) sendReports() {
	for _, m := range w.workers {
		if !m.up {
			continue
		}
		m.reports = append(m.reports, usageReport{at: w.now, usage: w.measure(m)})
		for len(m.reports) > 0 && w.now-m.reports[0].at >= reportLag {
			w.scheduler.Observe(m.ID, m.reports[0].usage, w.time())
			m.reports = m.reports[1:]
		}
	}
}

func (w *world) measure(m *workerModel) []placement.Usage {
	noise := func() float64 { return 1 + reportNoise*w.random.NormFloat64() }
	at := w.time()
	service := resource.Vector{CPUMilli: int64(w.scenario.loadAt(w.now.Seconds()) * serviceShare * m.cores * 1000)}
	usage := []placement.Usage{{Task: "service-" + m.ID, Used: service, Slowdown: m.serviceSlowdown * noise(), MeasuredAt: at}}
	for _, r := range m.tasks {
		usage = append(usage, placement.Usage{
			Task: r.ID, Used: resource.Vector{CPUMilli: int64(w.processorUse(r) * 1000), MemoryMiB: r.Size.MemoryMiB},
			Slowdown: r.slowdown * noise(), MeasuredAt: at,
		})
	}
	return usage
}
