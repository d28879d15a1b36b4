package state

import "github.com/ibispier/ibispier/controlapi"

// IsFinal reports whether an agent repeats a report until control has confirmed
// it.
func IsFinal(s controlapi.ReportedState) bool {
	return s != controlapi.ReportedStarting && s != controlapi.ReportedRunning
}

// IsCurrentReport reports whether a report is about the current placement of a task.
// Reports of an earlier epoch or another agent are not.
func (m *Machine) IsCurrentReport(agent string, r controlapi.ReportedTask) bool {
	t := m.tasks.byID[r.Task]
	return t != nil && t.IsPlaced() && t.Epoch == r.Epoch && t.Agent == agent
}

// WouldChange reports whether applying the report of an agent would change the
// Machine, so that the leader commits only what matters.
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

// applyReport applies what an agent says about its tasks.
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

// applyTaskReport keeps the checkpoint and moves the task on. Both are part of one
// entry, so a task is never queued without the checkpoint that it stopped with.
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

// completeTask records the completion of a batch task once. A watcher has no
// completion: one that ends is queued again at once.
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
