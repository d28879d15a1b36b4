// Package runs contains the duty that owns the runs of one target. It carries out
// the orders of control, renews the lease of the target, reports the runs that
// ended, and sets the pace of filling tasks that share the target with serving
// tasks.
package runs

import (
	"cmp"
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"

	"github.com/zeebo/errs"

	"github.com/ibispier/ibispier/bootclock"
	"github.com/ibispier/ibispier/controlapi"
	"github.com/ibispier/ibispier/daemon/controlclient"
	"github.com/ibispier/ibispier/daemon/targetagent/calls"
	"github.com/ibispier/ibispier/ring"
	"github.com/ibispier/ibispier/runapi"
	"github.com/ibispier/ibispier/telemetry"
)

// Error is the class of all errors of this package.
var Error = errs.Class("runs")

const (
	announcementCapacity = 64
	resultCapacity       = 256
	answerCapacity       = 64
	maxBatch             = 64
	// reportTimeout bounds a report. Control holds the response for up to
	// reportHold, and the control client tries another member when one does not
	// respond.
	reportTimeout = 4 * time.Second
	idleWait      = time.Second
	// defaultMaxLease is the longest of the bounds that the known deployments set for
	// the leases of their targets.
	defaultMaxLease = 10 * time.Second
	// minTimerWait is the shortest wait that the timer is set to. The instance's
	// clock and the clock of timers differ slightly; without a minimum, a timer
	// that fires early would be reset to zero in a busy loop.
	minTimerWait = time.Millisecond
)

// Options configure the duty.
type Options struct {
	Host        string                         // ID of this instance
	MaxLease    time.Duration                  // longest lease that the target takes; 0 for defaultMaxLease
	CallControl func(controlclient.Call) error // sends a call to control without blocking
	Callers     []*ring.Ring[calls.Call]       // take starts, stops and paces
	Watcher     *ring.Ring[calls.Call]         // takes watches
	Telemetry   telemetry.Telemetry
}

// Duty owns the runs of the target.
type Duty struct {
	// Announcements drops the oldest entry when full: the target announces itself
	// again.
	Announcements *ring.Ring[runapi.Announcement]
	// Results blocks the callers when full.
	Results *ring.Ring[calls.Result]

	options Options
	answers *ring.Ring[controlclient.Result]
}

// New returns a duty that must be configured before it runs.
func New() *Duty {
	return &Duty{
		Announcements: ring.New[runapi.Announcement]("runs.announcements", announcementCapacity),
		Results:       ring.New[calls.Result]("runs.results", resultCapacity),
		answers:       ring.New[controlclient.Result]("runs.answers", answerCapacity),
	}
}

// Configure sets where calls go. It must be called before Run.
func (d *Duty) Configure(o Options) { d.options = o }

// Run owns the runs until ctx ends. It starts without state, which it learns from
// the target and from control.
func (d *Duty) Run(ctx context.Context) error {
	o := newOwner(rand.Uint64(), d.options.Host, cmp.Or(d.options.MaxLease, defaultMaxLease), d.options.Telemetry.Log)
	timer := time.NewTimer(idleWait)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case a := <-d.Announcements.C():
			o.handleAnnouncement(bootclock.Now(), a)
		case r := <-d.Results.C():
			o.handleResult(bootclock.Now(), r)
		case a := <-d.answers.C():
			d.handleAnswer(o, a)
		case <-timer.C:
		}
		for _, r := range d.Results.Drain(nil, maxBatch) {
			o.handleResult(bootclock.Now(), r)
		}
		d.perform(o)
		timer.Reset(max(o.timeToNextDecision(bootclock.Now()), minTimerWait))
	}
}

func (d *Duty) handleAnswer(o *owner, a controlclient.Result) {
	var orders controlapi.TargetOrders
	err := a.Err
	if err == nil {
		err = json.Unmarshal(a.Payload, &orders)
	}
	o.handleOrders(bootclock.Now(), a.CorrelationID, orders, err)
}

// perform sends the calls and the report that the owner asks for.
func (d *Duty) perform(o *owner) {
	now := bootclock.Now()
	o.decide(now)
	for i, c := range o.calls {
		to := d.options.Callers[(int(o.callCount)+i)%len(d.options.Callers)]
		if c.Kind == calls.Watch {
			to = d.options.Watcher
		}
		if err := to.Offer(c); err != nil {
			o.handleResult(now, calls.Result{Call: c, SentAt: now, Err: Error.New("step=call: %w", err)})
		}
	}
	o.callCount += uint64(len(o.calls))
	o.calls = o.calls[:0]
	if o.outgoingReport == nil {
		return
	}
	report := *o.outgoingReport
	o.outgoingReport = nil
	payload, err := json.Marshal(report)
	if err == nil {
		err = d.options.CallControl(controlclient.Call{
			Operation:     controlapi.OpTarget,
			Payload:       payload,
			Deadline:      time.Now().Add(reportTimeout),
			MaxHold:       controlclient.MaxHold(report),
			CorrelationID: o.reportID,
			Reply:         d.answers,
		})
	}
	if err != nil {
		o.handleOrders(now, o.reportID, controlapi.TargetOrders{}, Error.New("step=report: %w", err))
	}
}
