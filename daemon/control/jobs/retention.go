package jobs

import (
	"maps"
	"time"

	"github.com/ibispier/ibispier/job"
)

// forgetJobs removes finished jobs and tombstones after the retention time. A new leader
// counts it anew, so they are kept for longer then.
func (e *engine) forgetJobs(now time.Time) {
	e.leader.nextForgotten = now.Add(e.options.Retention)
	for id, j := range e.store.Jobs {
		if !j.IsLive() {
			e.forgetLater(now, id)
		}
	}
	for id := range e.store.Tombstones {
		e.forgetLater(now, id)
	}
	maps.DeleteFunc(e.leader.finishedAt, func(id string, _ time.Time) bool {
		return e.store.Jobs[id] == nil && !e.store.HasTombstone(id)
	})
}

// forgetLater removes a finished job or a tombstone once the retention time has passed
// since this leader first saw it.
func (e *engine) forgetLater(now time.Time, id string) {
	l := e.leader
	since, known := l.finishedAt[id]
	if !known {
		since = now
		l.finishedAt[id] = now
	}
	forgottenAt := since.Add(e.options.Retention)
	if forgottenAt.After(now) {
		if forgottenAt.Before(l.nextForgotten) {
			l.nextForgotten = forgottenAt
		}
		return
	}
	delete(l.finishedAt, id)
	e.addPart(func(c *job.Command) { c.Forget = append(c.Forget, id) }, nil, nil)
}
