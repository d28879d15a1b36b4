package dispatch

import "github.com/ibispier/ibispier/job"

// startGang places all tasks of a gang or none. They share one run number that
// no member has used before. A gang waits until no member of an earlier run is
// left. A gang that is slow across racks tries each rack alone before it is spread
// over all.
func (p *pass) startGang(r readyStep) {
	q, s, ref, state := r.queue, r.spec(), r.ref, r.state()
	if state.Waiting-p.pendingSteps[stepOf(ref)] < len(state.Tasks) || !p.isGangReady(r) {
		return
	}
	// The limit of one start past the filters is not meant for gangs.
	if !p.skipFillingFilters && !p.probing && len(p.starts)+len(state.Tasks) > max(p.maxStarts, len(state.Tasks)) {
		return
	}
	key := p.shapeOf(q, s, ref)
	if since, known := p.misfits[key]; known && since == p.lastChange {
		return
	}
	run := 0
	for i := range state.Tasks {
		run = max(run, state.Tasks[i].LatestRun()+1)
	}
	if s.SameRack {
		for _, rack := range p.racks {
			if p.startGangOn(p.byRack[rack], q, s, ref, run) {
				return
			}
		}
	}
	if !p.startGangOn(p.targets, q, s, ref, run) {
		p.recordMisfit(key)
	}
}

// startGangOn places all tasks of a gang on the targets, or none.
func (p *pass) startGangOn(targets []*TargetState, q *job.Queue, s *job.Step, ref job.Ref, run int) bool {
	before := map[*TargetState]TargetState{}
	started := len(p.starts)
	for i := range s.Count {
		ref.Index = i
		ts := p.selectTarget(targets, q, s, ref)
		if ts == nil {
			for touched, state := range before {
				*touched = state
			}
			p.starts = p.starts[:started]
			return false
		}
		if _, saved := before[ts]; !saved {
			before[ts] = ts.clone()
		}
		p.placeTask(ts, ref, s, run)
	}
	return true
}
