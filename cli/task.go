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
	f.StringVar(&task.ID, "id", "", "task id; the same id gets the first answer (default: a random one)")
	f.StringVar(&task.Customer, "customer", "", "customer of the task")
	f.StringVar(&task.Kind, "kind", controlapi.KindBatch, "batch or watcher")
	f.StringVar(&task.Class, "class", "default", "tasks of one class interfere alike")
	f.BoolVar(&task.Urgent, "urgent", false, "place before tasks that are not urgent")
	f.Int64Var(&task.Size.CPUMilli, "cpu-milli", 0, "processors in millicores")
	f.Int64Var(&task.Size.MemoryMiB, "memory-mib", 0, "memory in MiB")
	f.Int64Var(&task.Size.Accelerators, "accelerators", 0, "accelerators")
	maxRun := f.Duration("max-run", 0, "longest run time; 0 for no bound")
	zones := f.String("zones", "", "allowed zones, separated by commas; empty for all")
	payload := f.String("payload", "", "file with the payload for the worker")
	return func(ctx context.Context, s *session, _ []string) error {
		if task.Customer == "" {
			return usagef("-customer is needed")
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
	f.StringVar(&q.Customer, "customer", "", "tasks of this customer only")
	state := f.String("state", "", "tasks in this state only")
	f.IntVar(&q.Limit, "limit", 0, "largest number of tasks; 0 for all")
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

// printTasks prints v as JSON or rows as a table, unless the call failed.
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
