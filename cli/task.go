package cli

import (
	"context"
	"flag"
	"io"
	"os"
	"time"

	"github.com/ibispier/ibispier/controlapi"
	"github.com/ibispier/ibispier/internal/table"
)

func taskSubmit(f *flag.FlagSet) action {
	task := new(controlapi.Task)
	f.StringVar(&task.ID, "id", "", "task id; repeating a submission under its id returns the first result (default: random)")
	f.StringVar(&task.Customer, "customer", "", "customer of the task")
	f.StringVar(&task.Kind, "kind", controlapi.KindBatch, "batch or watcher")
	f.StringVar(&task.Class, "class", "default", "interference class: tasks of one class cause similar interference")
	f.BoolVar(&task.Urgent, "urgent", false, "place before tasks that are not urgent")
	f.Int64Var(&task.Size.CPUMilli, "cpu-milli", 0, "processors in millicores")
	f.Int64Var(&task.Size.MemoryMiB, "memory-mib", 0, "memory in MiB")
	f.Int64Var(&task.Size.Accelerators, "accelerators", 0, "accelerators")
	maxRun := f.Duration("max-run", 0, "maximum run time; 0 for no limit")
	zones := f.String("zones", "", "allowed zones, separated by commas; empty for all")
	payload := f.String("payload", "", "file with the payload for the worker")
	return func(ctx context.Context, s *session, _ []string) error {
		if task.Customer == "" {
			return usagef("-customer is required")
		}
		if task.ID == "" {
			task.ID = newID()
		}
		task.Zones, task.MaxRunMilli = splitList(*zones), maxRun.Milliseconds()
		if *payload != "" {
			data, err := os.ReadFile(*payload)
			if err != nil {
				return usageError{err}
			}
			task.Payload = data
		}
		s.note("task %s", task.ID)
		status, err := s.client.Submit(ctx, *task)
		return s.printTasks(err, status, status)
	}
}

func taskStatus(*flag.FlagSet) action {
	return func(ctx context.Context, s *session, args []string) error {
		status, err := s.client.Task(ctx, args[0])
		return s.printTasks(err, status, status)
	}
}

func taskCancel(*flag.FlagSet) action {
	return func(ctx context.Context, s *session, args []string) error {
		status, err := s.client.CancelTask(ctx, args[0])
		return s.printTasks(err, status, status)
	}
}

func taskList(f *flag.FlagSet) action {
	q := new(controlapi.TasksQuery)
	f.StringVar(&q.Customer, "customer", "", "list only tasks of this customer")
	state := f.String("state", "", "list only tasks in this state")
	f.IntVar(&q.Limit, "limit", 0, "maximum number of tasks; 0 for all")
	return func(ctx context.Context, s *session, _ []string) error {
		q.State = controlapi.TaskState(*state)
		tasks, err := s.client.Tasks(ctx, *q)
		rows := make([]*controlapi.TaskStatus, len(tasks))
		for i := range tasks {
			rows[i] = &tasks[i]
		}
		return s.printTasks(err, tasks, rows...)
	}
}

// printTasks returns err if it is set; otherwise it prints v as JSON or rows as a
// table.
func (s *session) printTasks(err error, v any, rows ...*controlapi.TaskStatus) error {
	if err != nil {
		return err
	}
	return s.print(v, func(w io.Writer) error {
		t := table.New("TASK", "CUSTOMER", "KIND", "STATE", "EPOCH", "AGENT", "ZONE", "EVICTIONS", "FAILURES", "SUBMITTED", "REASON")
		for _, r := range rows {
			t.Row(r.ID, r.Customer, r.Kind, r.State, r.Epoch, r.Agent, r.Zone, r.Evictions, r.Failures,
				r.SubmittedAt.Format(time.RFC3339), r.Reason)
		}
		return t.Print(w)
	})
}
