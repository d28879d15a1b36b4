package dispatch

import "github.com/ibispier/ibispier/job"

// Explanation tells why the ready tasks of a step are not started. It is meant for logs.
type Explanation struct {
	Rejections map[Rejection]int // targets by the first filter that rejects them
	Accepting  int               // targets that pass every filter
	Candidates int               // targets that a decision looks at; the others are remembered not to fit
	Pending    int               // tasks of the step whose start is not settled
	Held       int               // ready tasks that are held back after failures
}

// Explain returns why the tasks of a step are not started, as of the latest decision.
func (d *Dispatcher) Explain(in Input, j *job.Job, occurrence, index int) Explanation {
	p := &pass{Input: in, Dispatcher: d}
	q, s := in.Store.QueueOf(j), &j.Spec.Steps[index]
	ref := job.Ref{Job: j.Spec.ID, Occurrence: occurrence, Step: index}
	x := Explanation{
		Rejections: map[Rejection]int{},
		Candidates: len(p.candidates(p.shapeOf(q, s, ref))),
		Pending:    d.pendingSteps[stepOf(ref)],
	}
	for ref, f := range p.failedOf(j, index) {
		if ref.Occurrence == occurrence && f.IsHeld(in.SteadyNow) && p.isReady(j, ref) {
			x.Held++
		}
	}
	for _, ts := range d.targets {
		if r := p.rejectedBy(ts, q, s, ref); r != accepted {
			x.Rejections[r]++
		} else {
			x.Accepting++
		}
	}
	return x
}
