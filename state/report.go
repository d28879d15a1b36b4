package state

import "github.com/ibispier/ibispier/controlapi"

// IsFinal reports whether s ends a placement. An agent repeats such a report
// until control confirms it.
func IsFinal(s controlapi.ReportedState) bool {
	return s != controlapi.ReportedStarting && s != controlapi.ReportedRunning
}

// IsCurrentReport reports whether a report refers to the current placement of its
// task. Reports with an earlier epoch or from another agent do not.
func (m *Machine) IsCurrentReport(agent string, r controlapi.ReportedTask) bool {
	t := m.tasks.byID[r.Task]
	return t != nil && t.IsPlaced() && t.Epoch == r.Epoch && t.Agent == agent
}

// WouldChange reports whether applying the report of an agent would change the
// state. The leader commits only such reports.
func (m *Machine) WouldChange(agent string, r controlapi.ReportedTask) bool {
	if !m.IsCurrentReport(agent, r) {
		return false
	}
	t := m.tasks.byID[r.Task]
	switch {
	case IsFinal(r.State):
		return true
	case r.State == controlapi.ReportedRunning && t.State == controlapi.TaskPlaced:
		return true
	default:
		return r.CheckpointSequence > t.CheckpointSequence
	}
}

// applyReport applies the reported states of the tasks of an agent.
func (m *Machine) applyReport(r Report) Result {
	var result Result
	for _, reported := range r.Tasks {
		if !m.WouldChange(r.Agent, reported) {
			continue
		}
		t := m.tasks.byID[reported.Task]
		m.applyTaskReport(t, reported, &result)
		result.ChangedTasks = append(result.ChangedTasks, t)
	}
	return result
}

// applyTaskReport records the checkpoint and the new state of a task. Both are in
// the same log entry, so a task is never queued without its last checkpoint.
func (m *Machine) applyTaskReport(t *Task, r controlapi.ReportedTask, result *Result) {
	if r.CheckpointSequence > t.CheckpointSequence {
		t.Checkpoint = r.Checkpoint
		t.CheckpointSequence = r.CheckpointSequence
	}
	switch r.State {
	case controlapi.ReportedRunning:
		if t.State == controlapi.TaskPlaced {
			m.tasks.setState(t, controlapi.TaskRunning)
		}
	case controlapi.ReportedCompleted:
		m.completeTask(t)
	case controlapi.ReportedFailed:
		t.Failures++
		result.Failures = append(result.Failures, Failure{Task: t.ID, Class: t.Class, Agent: t.Agent, Reason: r.Reason})
		m.endPlacement(t, reasonOrDefault(r.Reason, "the task failed"))
	case controlapi.ReportedRefused:
		result.Failures = append(result.Failures, Failure{Task: t.ID, Class: t.Class, Agent: t.Agent, Reason: r.Reason, Refused: true})
		m.endPlacement(t, reasonOrDefault(r.Reason, "the agent refused the task"))
	case controlapi.ReportedCheckpointed, controlapi.ReportedStopped:
		t.Evictions++
		m.endPlacement(t, reasonOrDefault(r.Reason, t.Reason))
	}
}

// completeTask finishes a batch task. A watcher never completes: when it ends, it
// is queued again at once.
func (m *Machine) completeTask(t *Task) {
	if t.Kind == controlapi.KindWatcher {
		m.endPlacement(t, "the watcher ended")
		return
	}
	m.finishTask(t, controlapi.TaskCompleted, "")
}

func reasonOrDefault(reason, defaultReason string) string {
	if reason == "" {
		return defaultReason
	}
	return reason
}
