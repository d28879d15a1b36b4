package cli

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/ibispier/ibispier/client"
	"github.com/ibispier/ibispier/controlapi"
	"github.com/ibispier/ibispier/internal/table"
)

func controlMembers(*flag.FlagSet) action {
	return func(ctx context.Context, s *session, _ []string) error {
		members, err := s.client.Members(ctx)
		if err != nil {
			return err
		}
		return s.printMembers(members)
	}
}

func (s *session) printMembers(m *controlapi.MembersResponse) error {
	return s.print(m, func(w io.Writer) error {
		t := table.New("MEMBER", "INCARNATION", "ADDRESS", "ROLE", "MATCH", "ACTIVE")
		for _, member := range m.Members {
			t.Row(member.ID, member.Incarnation, member.Address, roleOf(member, m.Leader), member.Match, member.Active)
		}
		return t.Print(w)
	})
}

func roleOf(m controlapi.Member, leader string) string {
	switch {
	case m.ID == leader:
		return "leader"
	case m.Voter:
		return "voter"
	default:
		return "learner"
	}
}

func controlBootstrap(*flag.FlagSet) action {
	return func(ctx context.Context, s *session, _ []string) error {
		return s.membership(ctx, "bootstrap", "")
	}
}

func membershipCommand(change string) func(f *flag.FlagSet) action {
	return func(*flag.FlagSet) action {
		return func(ctx context.Context, s *session, args []string) error {
			return s.membership(ctx, change, args[0])
		}
	}
}

func (s *session) membership(ctx context.Context, action, id string) error {
	members, err := s.client.ChangeMembership(ctx, controlapi.MembershipRequest{Action: action, ID: id})
	if err != nil {
		return err
	}
	return s.printMembers(members)
}

// controlRepair removes the old incarnation of a member and admits the new one.
// It ignores a missing member, so the command can be repeated after a failure.
func controlRepair(*flag.FlagSet) action {
	return func(ctx context.Context, s *session, args []string) error {
		_, err := s.client.ChangeMembership(ctx, controlapi.MembershipRequest{Action: "remove", ID: args[0]})
		var failed *client.Error
		if errors.As(err, &failed) && failed.Status == http.StatusNotFound {
			s.note("member %s is already removed", args[0])
			err = nil
		}
		if err != nil {
			return err
		}
		return s.membership(ctx, "admit", args[0])
	}
}

func controlSnapshot(*flag.FlagSet) action {
	return func(ctx context.Context, s *session, _ []string) error {
		if err := s.client.Snapshot(ctx); err != nil {
			return err
		}
		return s.print(controlapi.Empty{}, func(w io.Writer) error {
			_, err := fmt.Fprintln(w, "snapshot written")
			return err
		})
	}
}

func quarantineList(*flag.FlagSet) action {
	return func(ctx context.Context, s *session, _ []string) error {
		entries, err := s.client.Quarantine(ctx)
		if err != nil {
			return err
		}
		return s.print(entries, func(w io.Writer) error {
			t := table.New("KIND", "NAME", "SINCE", "REASON")
			for _, e := range entries {
				t.Row(e.Kind, e.Name, e.Since.Format(time.RFC3339), e.Reason)
			}
			return t.Print(w)
		})
	}
}

func quarantineRelease(*flag.FlagSet) action {
	return func(ctx context.Context, s *session, args []string) error {
		if err := s.client.ReleaseQuarantine(ctx, args[0], args[1]); err != nil {
			return err
		}
		return s.print(controlapi.Empty{}, func(w io.Writer) error {
			_, err := fmt.Fprintf(w, "%s %s is on probation\n", args[0], args[1])
			return err
		})
	}
}
