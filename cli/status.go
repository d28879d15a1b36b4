package cli

import (
	"context"
	"flag"
	"fmt"
	"io"
	"time"

	"github.com/ibispier/ibispier/controlapi"
	"github.com/ibispier/ibispier/internal/table"
)

func status(*flag.FlagSet) action {
	return func(ctx context.Context, s *session, _ []string) error {
		status, err := s.client.Status(ctx)
		if err != nil {
			return err
		}
		return s.print(status, func(w io.Writer) error { return printStatus(w, status) })
	}
}

func printStatus(w io.Writer, s *controlapi.StatusResponse) error {
	fmt.Fprintf(w, "leader %s  term %d  revision %d  workers %d\n", s.Leader, s.Term, s.Revision, s.Workers)
	for _, t := range []*table.Table{zoneTable(s), targetTable(s), leaseTable(s), processTable(s), alarmTable(s.Alarms)} {
		fmt.Fprintln(w)
		if err := t.Print(w); err != nil {
			return err
		}
	}
	return nil
}

func zoneTable(s *controlapi.StatusResponse) *table.Table {
	t := table.New("ZONE", "STATE", "IN FORCE")
	for _, z := range s.Zones {
		if z.Out {
			t.Row(z.Zone, "out", z.InForce)
		} else {
			t.Row(z.Zone, "in", "")
		}
	}
	return t
}

func targetTable(s *controlapi.StatusResponse) *table.Table {
	t := table.New("TARGET", "SERVICE", "ZONE", "STATE", "SLOTS", "REVISION")
	for _, target := range s.Targets {
		t.Row(target.Target, target.Service, target.Zone, target.State, target.Slots, markLagging(target.Revision, s.Revision))
	}
	return t
}

// leaseTable shows the number of tasks in each state. Placed, running and evicting
// tasks hold a lease.
func leaseTable(s *controlapi.StatusResponse) *table.Table {
	t := table.New("TASKS", "COUNT", "LEASE")
	for _, state := range []controlapi.TaskState{
		controlapi.TaskQueued, controlapi.TaskPlaced, controlapi.TaskRunning, controlapi.TaskEvicting,
		controlapi.TaskCompleted, controlapi.TaskFailed, controlapi.TaskCancelled, controlapi.TaskQuarantined,
	} {
		held := "no"
		switch state {
		case controlapi.TaskPlaced, controlapi.TaskRunning, controlapi.TaskEvicting:
			held = "held"
		}
		t.Row(state, s.Tasks[string(state)], held)
	}
	return t
}

func processTable(s *controlapi.StatusResponse) *table.Table {
	t := table.New("PROCESS", "REVISION", "LAST SEEN")
	for _, p := range s.Processes {
		t.Row(p.Process, markLagging(p.Revision, s.Revision), time.Duration(p.AgeMillis)*time.Millisecond)
	}
	return t
}

func alarmTable(alarms []controlapi.Alarm) *table.Table {
	t := table.New("ALARM", "SUBJECT", "SINCE", "MESSAGE")
	for _, a := range alarms {
		t.Row(a.Name, a.Subject, a.Since.Format(time.RFC3339), a.Message)
	}
	return t
}

// markLagging formats a revision and marks it if it is older than accepted.
func markLagging(revision, accepted uint64) string {
	if revision < accepted {
		return fmt.Sprintf("%d lags", revision)
	}
	return fmt.Sprint(revision)
}
