package experiment

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/ibispier/ibispier/placement"
	"github.com/ibispier/ibispier/resource"
)

// Figures of the platform.
const (
	referenceLoad   = 0.7 // at which the interference coefficients hold in full
	tick            = 200 * time.Millisecond
	reportInterval  = time.Second
	reportLag       = 1500 * time.Millisecond
	reportNoise     = 0.05
	checkpointTime  = 2.0 // seconds; the task makes no progress meanwhile
	restoreTime     = 3.0 // seconds of run time that a restart costs
	throttleFactor  = 0.5
	failAfter       = 2.0 // seconds until a faulty job or worker fails
	zoneOutAt       = 300 * time.Second
	zoneNotice      = 10 * time.Second // until its workers are gone
	zoneBackAt      = 420 * time.Second
	zoneWindowEnd   = 480 * time.Second
	faultyFrom      = 200 * time.Second
	faultyUntil     = 500 * time.Second
	cancelInterval  = 150 * time.Second
	noisyWavePeriod = 240 * time.Second
	noisyWaveLength = 90 * time.Second
)

// running is a job on a worker.
type running struct {
	*job
	started    time.Duration
	throttled  bool
	leaving    placement.ActionKind
	leavesAt   time.Duration // 0 unless an eviction is under way
	slowdown   float64
	onWorker   *machine
	lostOnStop float64 // progress since the last checkpoint
}

// machine is a worker.
type machine struct {
	placement.Worker
	index       int
	cores       float64
	up          bool
	tasks       []*running
	reports     []report
	serviceSlow float64
}

type report struct {
	at    time.Duration
	usage []placement.Usage
}

// world is the state of a run.
type world struct {
	scenario  Scenario
	scheduler *placement.Scheduler
	random    *rand.Rand
	truth     truth
	jobs      []job
	arrived   int
	now       time.Duration
	machines  []*machine
	byID      map[string]*machine
	known     map[string]*job
	progress  map[string]float64 // seconds of undisturbed run time done
	running   map[string]*running
	requests  *requests
	result    Result
	waiting   map[string]time.Duration // urgent jobs
	reasons   map[string]bool          // jobs held because they can never run

	urgentWaits []float64 // seconds
}

var start = time.Unix(1_700_000_000, 0)

func (w *world) time() time.Time { return start.Add(w.now) }

func newWorld(s Scenario, o placement.Options, seed uint64) *world {
	workload := rand.New(rand.NewPCG(seed, 1))
	w := &world{
		scenario: s, scheduler: placement.New(o), random: rand.New(rand.NewPCG(seed, 3)),
		truth: drawTruth(workload), jobs: drawJobs(s, workload),
		byID: map[string]*machine{}, known: map[string]*job{}, progress: map[string]float64{},
		running: map[string]*running{}, requests: newRequests(s, seed),
		waiting: map[string]time.Duration{}, reasons: map[string]bool{},
	}
	for i := range s.Workers {
		w.addMachine(i)
	}
	limit := resource.Vector{CPUMilli: int64(s.Workers*s.Cores) * 600, MemoryMiB: int64(s.Workers*s.MemoryGiB) * 1024}
	for c := range customers {
		w.scheduler.SetQuota(fmt.Sprint("customer-", c), placement.Quota{Limit: limit, Tasks: 10_000})
	}
	return w
}

// addMachine adds a worker, three to a rack, racks over the zones in turn, and
// the service that is bound to it.
func (w *world) addMachine(i int) {
	s := w.scenario
	rack := i / 3
	m := &machine{index: i, cores: float64(s.Cores), up: true, serviceSlow: 1}
	m.Worker = placement.Worker{
		ID: fmt.Sprintf("worker-%02d", i), Rack: fmt.Sprint(rack), Zone: fmt.Sprint("zone-", rack%s.Zones),
		Capacity: resource.Vector{CPUMilli: int64(s.Cores) * 1000, MemoryMiB: int64(s.MemoryGiB) * 1024},
	}
	w.machines = append(w.machines, m)
	w.byID[m.ID] = m
	w.scheduler.SetWorker(m.Worker, w.time())
	w.scheduler.RecordPlacement(w.service(m), m.ID, w.time())
}

func (w *world) service(m *machine) placement.Task {
	size := resource.Vector{CPUMilli: int64(serviceShare * m.cores * 1000), MemoryMiB: 16 * 1024}
	return placement.Task{ID: "service-" + m.ID, Customer: "desk", Kind: placement.Service, Class: "service", Size: size}
}

// updateSlowdowns applies the truth to every worker.
func (w *world) updateSlowdowns() {
	for _, m := range w.machines {
		var use [classes]float64
		total := w.scenario.loadAt(w.now.Seconds()) * serviceShare
		for _, r := range m.tasks {
			use[r.class] += w.useOf(r) / m.cores
			total += w.useOf(r) / m.cores
		}
		contention := max(1, total)
		m.serviceSlow = contention * w.slowdown(classes, use)
		for _, r := range m.tasks {
			others := use
			others[r.class] -= w.useOf(r) / m.cores
			r.slowdown = contention * w.slowdown(r.class, others)
		}
		w.requests.runners[m.index].slowdown = m.serviceSlow
		w.requests.runners[m.index].up = m.up
	}
}

// slowdown of a victim grows with the load of requests on the worker.
func (w *world) slowdown(victim int, use [classes]float64) float64 {
	load := 0.5 + 0.5*w.scenario.loadAt(w.now.Seconds())/referenceLoad
	sum := 0.0
	for aggressor, u := range use {
		sum += w.truth[victim][aggressor] * u
	}
	return 1 + load*sum
}

// useOf returns the processors that a job really uses.
func (w *world) useOf(r *running) float64 {
	use := r.cores * r.use
	if w.isNoisy(r.class) {
		use *= noisyFactor
	}
	if r.throttled || r.leavesAt > 0 {
		use *= throttleFactor
	}
	return use
}

// isNoisy: in every wave another class is noisy.
func (w *world) isNoisy(class int) bool {
	if !w.scenario.Faults || w.now%noisyWavePeriod < noisyWavePeriod-noisyWaveLength {
		return false
	}
	return int(w.now/noisyWavePeriod+1)%classes == class
}

// sendReports lets every worker measure now and deliver what it measured one
// lag ago.
func (w *world) sendReports() {
	for _, m := range w.machines {
		if !m.up {
			continue
		}
		m.reports = append(m.reports, report{at: w.now, usage: w.measure(m)})
		for len(m.reports) > 0 && w.now-m.reports[0].at >= reportLag {
			w.scheduler.Observe(m.ID, m.reports[0].usage, w.time())
			m.reports = m.reports[1:]
		}
	}
}

func (w *world) measure(m *machine) []placement.Usage {
	noise := func() float64 { return 1 + reportNoise*w.random.NormFloat64() }
	at := w.time()
	service := resource.Vector{CPUMilli: int64(w.scenario.loadAt(w.now.Seconds()) * serviceShare * m.cores * 1000)}
	usage := []placement.Usage{{Task: "service-" + m.ID, Used: service, Slowdown: m.serviceSlow * noise(), MeasuredAt: at}}
	for _, r := range m.tasks {
		usage = append(usage, placement.Usage{
			Task: r.ID, Used: resource.Vector{CPUMilli: int64(w.useOf(r) * 1000), MemoryMiB: r.Size.MemoryMiB},
			Slowdown: r.slowdown * noise(), MeasuredAt: at,
		})
	}
	return usage
}
