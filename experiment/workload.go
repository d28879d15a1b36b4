package experiment

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/ibispier/ibispier/placement"
	"github.com/ibispier/ibispier/resource"
)

// Scenario describes one run.
type Scenario struct {
	Name        string
	Workers     int
	Cores       int
	MemoryGiB   int
	Zones       int
	OfferedLoad float64 // batch demand as a share of the room beside the services
	WaveLoad    float64 // of requests in a wave, as a share of the slots of all runners
	Requests    bool    // simulate latency-critical requests
	Faults      bool    // faulty worker, faulty jobs, cancellations, noisy waves
	ZoneOutage  bool
	Duration    time.Duration
}

// Scenarios of the size of today.
var (
	Veilinghal = Scenario{Name: "veilinghal", Workers: 11, Cores: 64, MemoryGiB: 250, Zones: 3, OfferedLoad: 0.9, WaveLoad: 0.7, Requests: true, Faults: true, Duration: 720 * time.Second}
	Ogbomoso   = Scenario{Name: "ogbomoso", Workers: 11, Cores: 32, MemoryGiB: 125, Zones: 4, OfferedLoad: 0.9, WaveLoad: 0.7, Requests: true, Faults: true, Duration: 720 * time.Second}
	// The queue is never empty, so that the work done is bounded by capacity.
	ZoneOut = Scenario{Name: "zone", Workers: 11, Cores: 64, MemoryGiB: 250, Zones: 3, OfferedLoad: 1.3, WaveLoad: 0.7, ZoneOutage: true, Duration: 600 * time.Second}
)

// Figures of the workload.
const (
	classCount         = 6
	customerCount      = 5
	serviceShare       = 0.25 // of the cores of a worker that its service declares
	medianRunSeconds   = 60.0 // seconds of undisturbed run time
	runSigma           = 0.8  // deviation of the logarithm
	declaredSigma      = 1.2  // of declared to real run times: a factor of 3 is ordinary
	useSigma           = 0.5  // of real to declared processor use
	useBias            = -0.2
	urgentShare        = 0.03
	faultyJobShare     = 0.015
	impossibleJobShare = 0.01
	noisyFactor        = 2.5 // use of the noisy class in its wave
)

// relativeSizes are the declared cores of tasks, in 64ths of a worker.
var relativeSizes = []int{1, 2, 4, 8, 12}

// noiseLevels are the typical coefficients of the classes as aggressors.
var aggressorLevels = []float64{0.05, 0.1, 0.2, 0.4, 1, 2}

// job is a task and its truth, which the scheduler does not see.
type job struct {
	placement.Task
	class      int
	arrival    time.Duration
	cores      float64
	runSeconds float64 // seconds of undisturbed run time
	useFactor  float64 // real processor use as a factor of the declared
	faulty     bool
}

// truth holds the interference coefficients [victim][aggressor]; the last victim is
// the service.
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

// shifted swaps the noise of two classes, as after a release of their code.
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
