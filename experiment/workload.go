package experiment

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/ibispier/ibispier/placement"
	"github.com/ibispier/ibispier/resource"
)

// Scenario describes a simulated deployment and its load.
type Scenario struct {
	Name        string
	Workers     int
	Cores       int
	MemoryGiB   int
	Zones       int
	OfferedLoad float64 // batch demand as a share of the capacity that the services leave
	WaveLoad    float64 // request load in a wave, as a share of the slots of all runners
	Requests    bool    // simulate latency-critical requests
	Faults      bool    // simulate a faulty worker, faulty and impossible jobs, cancellations and noisy waves
	ZoneOutage  bool
	Duration    time.Duration
}

// Scenarios of the size of the present deployments.
var (
	Veilinghal = Scenario{Name: "veilinghal", Workers: 11, Cores: 64, MemoryGiB: 250, Zones: 3, OfferedLoad: 0.9, WaveLoad: 0.7, Requests: true, Faults: true, Duration: 720 * time.Second}
	Ogbomoso   = Scenario{Name: "ogbomoso", Workers: 11, Cores: 32, MemoryGiB: 125, Zones: 4, OfferedLoad: 0.9, WaveLoad: 0.7, Requests: true, Faults: true, Duration: 720 * time.Second}
	// ZoneOut keeps the queue filled, so that capacity alone bounds the work done.
	ZoneOut = Scenario{Name: "zone", Workers: 11, Cores: 64, MemoryGiB: 250, Zones: 3, OfferedLoad: 1.3, WaveLoad: 0.7, ZoneOutage: true, Duration: 600 * time.Second}
)

// Parameters of the workload. The sigmas are standard deviations of logarithms.
const (
	classCount         = 6
	customerCount      = 5
	serviceShare       = 0.25 // of the cores of a worker, declared by its service
	medianRunSeconds   = 60.0 // run time without interference
	runSigma           = 0.8
	declaredSigma      = 1.2 // of declared to actual run time: a factor of 3 is common
	useSigma           = 0.5 // of actual to declared CPU usage
	useBias            = -0.2
	urgentShare        = 0.03
	faultyJobShare     = 0.015
	impossibleJobShare = 0.01
	noisyFactor        = 2.5 // on the CPU usage of the noisy class during its wave
)

// relativeSizes are the declared cores of tasks, in 64ths of a worker.
var relativeSizes = []int{1, 2, 4, 8, 12}

// aggressorLevels are the typical interference coefficients of the classes as
// aggressors.
var aggressorLevels = []float64{0.05, 0.1, 0.2, 0.4, 1, 2}

// job is a task with its actual properties, which the scheduler does not see.
type job struct {
	placement.Task
	class      int
	arrival    time.Duration
	cores      float64
	runSeconds float64 // run time without interference
	useFactor  float64 // actual CPU usage as a multiple of the declared
	faulty     bool
}

// interferenceMatrix holds the actual coefficients by victim and aggressor. The
// last victim is the service.
type interferenceMatrix [classCount + 1][classCount]float64

func drawInterference(random *rand.Rand) interferenceMatrix {
	levels := random.Perm(classCount)
	var t interferenceMatrix
	for victim := range t {
		sensitivity := math.Exp(0.4 * random.NormFloat64())
		for aggressor := range classCount {
			t[victim][aggressor] = aggressorLevels[levels[aggressor]] * sensitivity * math.Exp(0.5*random.NormFloat64())
		}
	}
	return t
}

// withClassesSwapped swaps the coefficients of two aggressor classes, as a new
// release of their code might.
func (t interferenceMatrix) withClassesSwapped() interferenceMatrix {
	for victim := range t {
		t[victim][0], t[victim][1] = t[victim][1], t[victim][0]
	}
	return t
}

func drawJobs(s Scenario, random *rand.Rand) []job {
	batchCores := float64(s.Workers*s.Cores) * (1 - serviceShare)
	meanRun := medianRunSeconds * math.Exp(runSigma*runSigma/2)
	meanCores := 0.0
	for _, size := range relativeSizes {
		meanCores += float64(size*s.Cores) / 64 / float64(len(relativeSizes))
	}
	rate := s.OfferedLoad * batchCores / meanCores / meanRun
	var jobs []job
	for at := 0.0; at < s.Duration.Seconds(); at += random.ExpFloat64() / rate {
		jobs = append(jobs, drawJob(s, random, len(jobs), at))
	}
	return jobs
}

func drawJob(s Scenario, random *rand.Rand, i int, at float64) job {
	class := random.IntN(classCount)
	milli := relativeSizes[random.IntN(len(relativeSizes))] * s.Cores * 1000 / 64
	run := medianRunSeconds * math.Exp(runSigma*random.NormFloat64())
	j := job{
		class:      class,
		arrival:    time.Duration(at * float64(time.Second)),
		runSeconds: run,
		useFactor:  math.Exp(useBias + useSigma*random.NormFloat64()),
		faulty:     s.Faults && random.Float64() < faultyJobShare,
	}
	if s.Faults && random.Float64() < impossibleJobShare {
		milli = 2 * s.Cores * 1000
	}
	j.cores = float64(milli) / 1000
	j.Task = placement.Task{
		ID:       fmt.Sprintf("job-%05d", i),
		Customer: fmt.Sprint("customer-", random.IntN(customerCount)),
		Class:    fmt.Sprint("class-", class),
		Urgent:   random.Float64() < urgentShare,
		Size:     resource.Vector{CPUMilli: int64(milli), MemoryMiB: int64(j.cores * 2048)},
		RunTime:  time.Duration(run * math.Exp(declaredSigma*random.NormFloat64()) * float64(time.Second)),
	}
	return j
}
