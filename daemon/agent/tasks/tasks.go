// Package tasks implements the duty that runs the tasks of an instance. It passes
// commands from control and results from the worker to the executor, which does
// no I/O itself, and sends the calls and reports that the executor returns.
package tasks

import (
	"context"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/ibispier/ibispier/bootclock"
	"github.com/ibispier/ibispier/controlapi"
	"github.com/ibispier/ibispier/daemon/agent/workercalls"
	"github.com/ibispier/ibispier/executor"
	"github.com/ibispier/ibispier/link"
	"github.com/ibispier/ibispier/ring"
	"github.com/ibispier/ibispier/settings"
	"github.com/ibispier/ibispier/wire"
	"github.com/ibispier/ibispier/workerapi"
)

const (
	eventCapacity = 1024
	jobCapacity   = 1024
	// tickInterval is half of the margin by which the executor stops tasks before
	// their lease ends. It is not shorter because wake-ups account for most of the
	// processor time of an agent.
	tickInterval = 200 * time.Millisecond
	// listInterval is how often the worker is asked for its tasks while it has
	// any; idleListInterval applies otherwise.
	listInterval     = 500 * time.Millisecond
	idleListInterval = time.Second
)

type event struct {
	conn     *link.Conn
	up, down bool
	response *wire.ControlResponse
	grant    *wire.PermitGrant
	drain    bool
}

// Duty runs the tasks of an instance. The fields from executor on belong to the
// goroutine of Run.
type Duty struct {
	Jobs    *ring.Ring[workercalls.Job]
	Results *ring.Ring[workercalls.JobResult]
	events  *ring.Ring[event]
	log     *zap.Logger
	worker  controlapi.Worker
	// hasWorker is false for an instance that only serves requests.
	hasWorker bool
	revision  atomic.Uint64

	executor        *executor.Executor
	adoption        adoptionState
	uplinks         uplinks
	reportRequests  requestTracker
	permitRequests  requestTracker
	listRequestedAt time.Duration
	listPending     bool
}

// adoptionState is the progress of taking over the worker's tasks after the agent
// has started.
type adoptionState uint8

const (
	notAdopted adoptionState = iota // the worker has not confirmed the epoch of this agent
	fenceSet                        // the worker refuses calls of earlier agents
	adopted                         // the executor knows the tasks of the worker
)

// New returns the duty.
func New(s *settings.Settings, log *zap.Logger) *Duty {
	return &Duty{
		Jobs:      ring.New[workercalls.Job]("tasks.jobs", jobCapacity),
		Results:   ring.New[workercalls.JobResult]("tasks.done", jobCapacity),
		events:    ring.New[event]("tasks.events", eventCapacity),
		log:       log,
		hasWorker: s.Agent.WorkerURL != "",
		worker: controlapi.Worker{
			Agent: s.Daemon.ID,
			Rack:  s.Agent.Rack,
			Zone:  s.Daemon.Zone,
			Capacity: controlapi.Resources{
				CPUMilli:     s.Agent.CPUMilli,
				MemoryMiB:    s.Agent.MemoryMiB,
				Accelerators: s.Agent.Accelerators,
			},
		},
	}
}

// Revision returns the newest configuration revision that this agent has
// received.
func (d *Duty) Revision() uint64 { return d.revision.Load() }

// Run handles events until ctx is done. Each run first reads the worker's tasks
// and adopts them.
func (d *Duty) Run(ctx context.Context) error {
	d.executor = executor.New(d.worker)
	d.uplinks = uplinks{}
	d.adoption, d.listPending, d.listRequestedAt = notAdopted, false, 0
	d.reportRequests, d.permitRequests = newRequestTracker(reportInterval), newRequestTracker(permitInterval)
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case e := <-d.events.C():
			d.handleEvent(e)
		case result := <-d.Results.C():
			d.handleResult(result)
		case <-ticker.C:
			d.onTick()
		}
	}
}

// Drain refuses new starts. Running tasks continue under their leases.
func (d *Duty) Drain(ctx context.Context) error {
	return d.events.Put(ctx, event{drain: true})
}

func (d *Duty) onTick() {
	now := bootclock.Now()
	if d.hasWorker && !d.listPending && now-d.listRequestedAt >= d.currentListInterval() {
		d.listPending = d.offerJob(workercalls.Job{List: true})
		d.listRequestedAt = now
	}
	if d.adoption != adopted {
		return
	}
	d.issueCalls(d.executor.Tick(now))
	if d.permitRequests.due(now) {
		d.requestPermit(now)
	}
	if d.reportRequests.due(now) || d.reportRequests.sinceLast(now) >= minReportInterval && d.executor.TasksChanged() {
		d.sendReport(now)
	}
}

func (d *Duty) currentListInterval() time.Duration {
	if d.adoption == adopted && d.executor.IsIdle() {
		return idleListInterval
	}
	return listInterval
}

func (d *Duty) handleEvent(e event) {
	now := bootclock.Now()
	switch {
	case e.up:
		d.uplinks.add(e.conn)
	case e.down:
		d.uplinks.remove(e.conn)
	case e.drain:
		d.executor.Drain()
	case e.grant != nil:
		d.handleGrant(now, e.grant)
	case e.response != nil:
		d.handleCommands(now, e.response)
	}
}

func (d *Duty) handleResult(result workercalls.JobResult) {
	now := bootclock.Now()
	switch {
	case result.Job.List:
		d.listPending = false
		d.handleTaskList(now, result)
	case result.Job.Fence != nil:
		d.handleFenceResult(result)
	default:
		d.issueCalls(d.executor.HandleResult(now, result.CallResult))
	}
}

func (d *Duty) handleTaskList(now time.Duration, result workercalls.JobResult) {
	if result.Err != nil {
		d.log.Warn("worker is unreachable", zap.Error(result.Err))
		return
	}
	switch d.adoption {
	case notAdopted:
		d.sendFence(result.Tasks.AgentEpoch)
	case fenceSet:
		d.executor.Adopt(now, *result.Tasks)
		d.adoption = adopted
		d.log.Info("worker adopted", zap.Int("tasks", len(result.Tasks.Tasks)))
	case adopted:
		d.executor.Reconcile(now, result.StartedAt, *result.Tasks)
	}
}

// sendFence chooses an epoch above that of every earlier agent of this instance
// and sends it to the worker. The epoch is at least the current time in
// nanoseconds, so that it increases even if the worker has lost its state.
func (d *Duty) sendFence(highestEpoch uint64) {
	epoch := max(uint64(time.Now().UnixNano()), highestEpoch+1)
	d.executor.SetAgentEpoch(epoch)
	d.offerJob(workercalls.Job{Fence: &workerapi.FenceRequest{AgentEpoch: epoch}})
}

// handleFenceResult makes the next task list adopt the worker's tasks. The worker
// creates that list after it has fenced earlier agents, so none of them can
// change the tasks afterwards.
func (d *Duty) handleFenceResult(result workercalls.JobResult) {
	if result.Err == nil && d.adoption == notAdopted {
		d.adoption = fenceSet
	}
}

// issueCalls queues calls to the worker. If the ring is full because the worker
// does not keep up, the call is treated like one that got no answer.
func (d *Duty) issueCalls(calls []executor.Call) {
	for i := range calls {
		call := calls[i]
		if !d.offerJob(workercalls.Job{Call: &call}) {
			d.executor.HandleResult(bootclock.Now(), executor.Result{Call: call, NoAnswer: true})
		}
	}
}

func (d *Duty) offerJob(job workercalls.Job) bool { return d.Jobs.Offer(job) == nil }
