package supervise

import (
	"context"
	"runtime/debug"
	"time"

	"github.com/ibispier/ibispier/ring"
)

// Strategy determines what a supervisor does with its children when one fails.
type Strategy int

const (
	// OneForOne restarts only the failed child.
	OneForOne Strategy = iota
	// OneForAll stops and restarts all children. It is meant for children that
	// share state.
	OneForAll
	// EndTogether stops all children and ends the supervisor, with the error of
	// the child, as soon as any child ends. Children are never restarted.
	EndTogether
)

// Unlimited as Policy.MaxFailures means that the supervisor never fails because
// of its children. It is meant for children whose failure is normal, such as
// links.
const Unlimited = -1

const (
	defaultMaxFailures  = 5
	defaultPeriod       = time.Minute
	defaultRestartDelay = 10 * time.Millisecond
	queueCapacity       = 256
)

// Policy is the restart policy of a supervisor. New replaces zero fields by
// defaults.
type Policy struct {
	Strategy     Strategy
	MaxFailures  int           // failures allowed within Period before the supervisor itself fails
	Period       time.Duration // window in which failures count
	RestartDelay time.Duration // pause before a restart
}

// Observer is called for each failure of a child.
type Observer func(supervisor, child string, err error)

// Supervisor is a Duty that runs children.
//
// Invariant: when Run returns, no child of that run is running.
type Supervisor struct {
	name          string
	policy        Policy
	observer      Observer
	children      []*child
	startRequests *ring.Ring[*child]
}

type child struct {
	name      string
	duty      Duty
	temporary bool
	cancel    context.CancelFunc
	running   bool
}

type exit struct {
	child *child
	err   error
}

// New returns a supervisor without children.
func New(name string, policy Policy, observer Observer) *Supervisor {
	if policy.MaxFailures == 0 {
		policy.MaxFailures = defaultMaxFailures
	}
	if policy.Period == 0 {
		policy.Period = defaultPeriod
	}
	if policy.RestartDelay == 0 {
		policy.RestartDelay = defaultRestartDelay
	}
	if observer == nil {
		observer = func(string, string, error) {}
	}
	return &Supervisor{
		name:          name,
		policy:        policy,
		observer:      observer,
		startRequests: ring.New[*child](name+".added", queueCapacity),
	}
}

// Add registers a permanent child. It must be called before Run.
func (s *Supervisor) Add(name string, d Duty) {
	s.children = append(s.children, &child{name: name, duty: d})
}

// StartTemporary adds a child to a supervisor that may already be running. The
// child is not restarted, and is removed when it ends.
func (s *Supervisor) StartTemporary(ctx context.Context, name string, d Duty) error {
	return s.startRequests.Put(ctx, &child{name: name, duty: d, temporary: true})
}

// Run starts the children and returns when ctx ends, when all children have
// finished, when they fail more often than the policy allows, or when one fails
// with a fatal error.
func (s *Supervisor) Run(ctx context.Context) error {
	r := &run{
		supervisor: s,
		exits:      make(chan exit, queueCapacity),
		children:   append([]*child(nil), s.children...),
	}
	runCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	for _, c := range r.children {
		r.start(runCtx, c)
	}
	err := r.loop(runCtx)
	cancel()
	r.awaitChildren()
	return err
}

// run is the state of one call of Supervisor.Run.
type run struct {
	supervisor *Supervisor
	exits      chan exit
	children   []*child
	active     int         // running children
	failures   []time.Time // times of failures within the period
}

func (r *run) loop(ctx context.Context) error {
	for {
		if r.active == 0 && len(r.supervisor.children) > 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			return nil
		case c := <-r.supervisor.startRequests.C():
			r.children = append(r.children, c)
			r.start(ctx, c)
		case e := <-r.exits:
			if err := r.handleExit(ctx, e); err != nil {
				return err
			}
		}
	}
}

func (r *run) start(ctx context.Context, c *child) {
	childCtx, cancel := context.WithCancel(ctx)
	c.cancel = cancel
	c.running = true
	r.active++
	go func() {
		r.exits <- exit{child: c, err: runWithRecover(childCtx, c.duty)}
	}()
}

// runWithRecover turns a panic of the duty into an error, so that a fault in one
// duty restarts only the subtree that owns its state.
func runWithRecover(ctx context.Context, d Duty) (err error) {
	defer func() {
		if p := recover(); p != nil {
			err = Error.New("panic: %v stack=%q", p, debug.Stack())
		}
	}()
	return d.Run(ctx)
}

func (r *run) handleExit(ctx context.Context, e exit) error {
	r.markStopped(e.child)
	if e.err != nil && ctx.Err() == nil {
		r.supervisor.observer(r.supervisor.name, e.child.name, e.err)
	}
	switch {
	case IsFatal(e.err):
		return e.err
	case r.supervisor.policy.Strategy == EndTogether:
		return exitError(e)
	case e.child.temporary:
		r.removeChild(e.child)
		return nil
	case e.err == nil || ctx.Err() != nil:
		return nil
	}
	if r.failureLimitExceeded(time.Now()) {
		return Error.New("step=restart child=%s: more than %d failures in %s: %w",
			e.child.name, r.supervisor.policy.MaxFailures, r.supervisor.policy.Period, e.err)
	}
	return r.restart(ctx, e.child)
}

// errChildEnded is the error of an EndTogether supervisor whose child ended
// without an error. The loop of the supervisor stops only for an error.
var errChildEnded = Error.New("child ended")

func exitError(e exit) error {
	if e.err != nil {
		return e.err
	}
	return errChildEnded
}

func (r *run) markStopped(c *child) {
	c.running = false
	c.cancel()
	r.active--
}

func (r *run) removeChild(c *child) {
	for i, other := range r.children {
		if other == c {
			r.children = append(r.children[:i], r.children[i+1:]...)
			return
		}
	}
}

// failureLimitExceeded records a failure at now and reports whether there are
// now more failures within the period than the policy allows.
func (r *run) failureLimitExceeded(now time.Time) bool {
	policy := r.supervisor.policy
	if policy.MaxFailures == Unlimited {
		return false
	}
	recent := r.failures[:0]
	for _, t := range r.failures {
		if now.Sub(t) < policy.Period {
			recent = append(recent, t)
		}
	}
	r.failures = append(recent, now)
	return len(r.failures) > policy.MaxFailures
}

func (r *run) restart(ctx context.Context, failed *child) error {
	if r.supervisor.policy.Strategy == OneForAll {
		if err := r.stopOthers(); err != nil {
			return err
		}
	}
	if !Sleep(ctx, r.supervisor.policy.RestartDelay) {
		return nil
	}
	if r.supervisor.policy.Strategy == OneForOne {
		r.start(ctx, failed)
		return nil
	}
	for _, c := range r.children {
		r.start(ctx, c)
	}
	return nil
}

// stopOthers stops all running children and waits for them. It returns the error
// of a child that ends with a fatal error meanwhile.
func (r *run) stopOthers() error {
	for _, c := range r.children {
		if c.running {
			c.cancel()
		}
	}
	var fatal error
	for r.active > 0 {
		e := <-r.exits
		r.markStopped(e.child)
		if IsFatal(e.err) {
			fatal = e.err
		}
		if e.child.temporary {
			r.removeChild(e.child)
		}
	}
	return fatal
}

func (r *run) awaitChildren() {
	for r.active > 0 {
		e := <-r.exits
		r.markStopped(e.child)
	}
}

// Sleep waits for d and reports whether d has passed before ctx ended.
func Sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
