// Package tasks is the duty that runs the tasks of an instance: it drives the
// pure executor with commands from control and results from the worker.
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
	// tick is half of the margin before the end of a lease. The wake-ups of an
	// agent are most of its processor time.
	tick = 200 * time.Millisecond
	// listInterval is the time between lists of the worker while it has tasks.
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

// Duty runs the tasks of an instance.
type Duty struct {
	Jobs    *ring.Ring[workercalls.Job]
	Results *ring.Ring[workercalls.JobResult]
	events  *ring.Ring[event]
	log     *zap.Logger
	worker  controlapi.Worker
	// hasWorker is false for an instance that only serves requests.
	hasWorker bool
	revision  atomic.Uint64

	executor *executor.Executor
	adoption adoption
	uplinks  uplinks
	reports  exchange
	permits  exchange
	listedAt time.Duration
	listing  bool
}

// adoption is the progress of taking over the worker after a start.
type adoption uint8

const (
	unknown  adoption = iota // the worker has not answered yet
	fencing                  // the worker was told the epoch of this agent
	complete                 // the tasks of the worker are known
)

// New returns the duty.
func New(s *settings.Settings, log *zap.Logger) *Duty {
	return &Duty{
		Jobs:      ring.New[workercalls.Job]("tasks.jobs", jobCapacity),
		Results:   ring.New[workercalls.JobResult]("tasks.done", jobCapacity),
		events:    ring.New[event]("tasks.events", eventCapacity),
		log:       log,
		hasWorker: s.Agent.Worker != "",
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

// Revision returns the configuration revision that this agent knows.
func (d *Duty) Revision() uint64 { return d.revision.Load() }

// Run runs tasks until ctx ends. Each run first learns from the worker what
// runs there.
func (d *Duty) Run(ctx context.Context) error {
	d.executor = executor.New(d.worker)
	d.uplinks = uplinks{}
	d.adoption, d.listing, d.listedAt = unknown, false, 0
	d.reports, d.permits = newExchange(reportInterval), newExchange(permitInterval)
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case e := <-d.events.C():
			d.handle(e)
		case done := <-d.Results.C():
			d.finished(done)
		case <-ticker.C:
			d.onTick()
		}
	}
}

// Drain refuses new starts. Running tasks go on under their leases.
func (d *Duty) Drain(ctx context.Context) error {
	return d.events.Put(ctx, event{drain: true})
}

func (d *Duty) onTick() {
	now := bootclock.Now()
	if d.hasWorker && !d.listing && now-d.listedAt >= d.listPause() {
		d.listing = d.offer(workercalls.Job{List: true})
		d.listedAt = now
	}
	if d.adoption != complete {
		return
	}
	d.issue(d.executor.Tick(now))
	if d.permits.due(now) {
		d.askPermit(now)
	}
	if d.reports.due(now) || d.reports.pause(now) >= changeInterval && d.executor.TasksChanged() {
		d.report(now)
	}
}

func (d *Duty) listPause() time.Duration {
	if d.adoption == complete && d.executor.Idle() {
		return idleListInterval
	}
	return listInterval
}

func (d *Duty) handle(e event) {
	now := bootclock.Now()
	switch {
	case e.up:
		d.uplinks.add(e.conn)
	case e.down:
		d.uplinks.remove(e.conn)
	case e.drain:
		d.executor.Drain()
	case e.grant != nil:
		d.granted(now, e.grant)
	case e.response != nil:
		d.commanded(now, e.response)
	}
}

func (d *Duty) finished(done workercalls.JobResult) {
	now := bootclock.Now()
	switch {
	case done.Job.List:
		d.listing = false
		d.listed(now, done)
	case done.Job.Fence != nil:
		d.fenced(done)
	default:
		d.issue(d.executor.HandleResult(now, done.CallResult))
	}
}

func (d *Duty) listed(now time.Duration, done workercalls.JobResult) {
	if done.Err != nil {
		d.log.Warn("worker unreachable", zap.Error(done.Err))
		return
	}
	switch d.adoption {
	case unknown:
		d.fence(done.Tasks.AgentEpoch)
	case fencing:
		d.executor.Adopt(now, *done.Tasks)
		d.adoption = complete
		d.log.Info("worker adopted", zap.Int("tasks", len(done.Tasks.Tasks)))
	case complete:
		d.executor.Reconcile(now, done.StartedAt, *done.Tasks)
	}
}

// fence takes an epoch above that of every earlier agent of this instance. The
// time keeps it rising even when the worker has lost its state.
func (d *Duty) fence(highest uint64) {
	epoch := max(uint64(time.Now().UnixNano()), highest+1)
	d.executor.SetAgentEpoch(epoch)
	d.offer(workercalls.Job{Fence: &workerapi.FenceRequest{AgentEpoch: epoch}})
}

// fenced goes on to adopt the worker's tasks from the next list, which the
// worker makes after it has fenced the earlier agents.
func (d *Duty) fenced(done workercalls.JobResult) {
	if done.Err == nil && d.adoption == unknown {
		d.adoption = fencing
	}
}

// issue hands calls to the callers. When their ring is full the worker does
// not keep up, and the call counts as one without an answer.
func (d *Duty) issue(calls []executor.Call) {
	for i := range calls {
		call := calls[i]
		if !d.offer(workercalls.Job{Call: &call}) {
			d.executor.HandleResult(bootclock.Now(), executor.Result{Call: call, NoAnswer: true})
		}
	}
}

func (d *Duty) offer(job workercalls.Job) bool { return d.Jobs.Offer(job) == nil }
