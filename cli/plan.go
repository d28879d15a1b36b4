package cli

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"flag"
	"fmt"
	"io"
	"net/http"
	"strings"

	"github.com/ibispier/ibispier/cli/keys"
	"github.com/ibispier/ibispier/cli/lists"
	"github.com/ibispier/ibispier/client"
	"github.com/ibispier/ibispier/controlapi"
	"github.com/ibispier/ibispier/internal/table"
	"github.com/ibispier/ibispier/plan"
)

func planList(f *flag.FlagSet) action {
	iniFormat := f.Bool("ini", false, "print the lists as the INI file that plan propose takes")
	return func(ctx context.Context, s *session, _ []string) error {
		config, err := s.client.Config(ctx)
		if err != nil {
			return err
		}
		if *iniFormat {
			fmt.Fprintf(s.env.Stdout, "# revision %d\n", config.Revision)
			return lists.Write(s.env.Stdout, config.Customers, config.Plans)
		}
		return s.print(config, func(w io.Writer) error { return printConfig(w, config) })
	}
}

func printConfig(w io.Writer, c *controlapi.Config) error {
	fmt.Fprintf(w, "revision %d  zones out: %s\n\n", c.Revision, orDefault(strings.Join(c.ZonesOut, ", "), "none"))
	customers := table.New("CUSTOMER", "PLAN")
	for _, customer := range c.Customers {
		customers.Row(customer.Customer, customer.Plan)
	}
	plans := table.New("PLAN", "SERVICES", "REQUESTS/S", "CONCURRENCY", "BURST", "PRIORITY", "CPU MILLI", "MEMORY MIB", "ACCELERATORS", "TASKS")
	for _, p := range c.Plans {
		plans.Row(p.Name, strings.Join(p.Services, ","), p.RequestsPerSecond, p.Concurrency, p.Burst, p.Priority,
			p.CPUMilli, p.MemoryMiB, p.Accelerators, p.Tasks)
	}
	owners := table.New("OWNER", "PUBLIC KEY")
	for owner, key := range c.Owners {
		owners.Row(owner, key)
	}
	for i, t := range []*table.Table{customers, plans, owners} {
		if i > 0 {
			fmt.Fprintln(w)
		}
		if err := t.Print(w); err != nil {
			return err
		}
	}
	return nil
}

// proposeFlags identify a proposal, so an operator can repeat the command.
type proposeFlags struct {
	id   string
	base int64
	// force overrides the check that the capacity promised by the plans exists.
	force bool
}

func (p *proposeFlags) register(f *flag.FlagSet) {
	f.StringVar(&p.id, "id", "", "change id; repeating a change under its id returns the first result (default: random)")
	f.Int64Var(&p.base, "base", -1, "revision that the change is based on (default: the one in force)")
	f.BoolVar(&p.force, "force", false, "override the check that the capacity promised by the plans exists")
}

// propose prints the change id before it sends the proposal, so the operator can
// retry it if the response is lost.
func (p *proposeFlags) propose(ctx context.Context, s *session, change controlapi.Change) error {
	in := controlapi.ProposeRequest{ChangeID: p.id, Base: uint64(max(p.base, 0)), Change: change, Force: p.force}
	if in.ChangeID == "" {
		in.ChangeID = newID()
	}
	if p.base < 0 {
		base, err := s.baseOf(ctx, p.id)
		if err != nil {
			return err
		}
		in.Base = base
	}
	s.note("change %s base %d", in.ChangeID, in.Base)
	proposal, err := s.client.Propose(ctx, in)
	if err != nil {
		return err
	}
	return s.print(proposal, func(w io.Writer) error { return printProposal(w, proposal) })
}

// baseOf returns the base of the proposal with the given id if it exists, so a
// retry proposes the same change, and otherwise the revision in force.
func (s *session) baseOf(ctx context.Context, id string) (uint64, error) {
	if id != "" {
		earlier, err := s.client.Proposal(ctx, id)
		var failed *client.Error
		if err == nil {
			return earlier.Base, nil
		}
		if !errors.As(err, &failed) || failed.Status != http.StatusNotFound {
			return 0, err
		}
	}
	config, err := s.client.Config(ctx)
	return config.Revision, err
}

func planPropose(f *flag.FlagSet) action {
	p := new(proposeFlags)
	p.register(f)
	return func(ctx context.Context, s *session, args []string) error {
		l, err := lists.Load(args[0])
		if err != nil {
			return usageError{err}
		}
		return p.propose(ctx, s, controlapi.Change{Kind: controlapi.ChangeLists, Customers: l.Customers, Plans: l.Plans})
	}
}

func planOwners(f *flag.FlagSet) action {
	p := new(proposeFlags)
	p.register(f)
	return func(ctx context.Context, s *session, args []string) error {
		owners, err := lists.LoadOwners(args[0])
		if err != nil {
			return usageError{err}
		}
		return p.propose(ctx, s, controlapi.Change{Kind: controlapi.ChangeOwners, Owners: owners})
	}
}

func zoneChange(direction string) func(f *flag.FlagSet) action {
	kind := controlapi.ChangeZoneOut
	if direction == "in" {
		kind = controlapi.ChangeZoneIn
	}
	return func(f *flag.FlagSet) action {
		p := new(proposeFlags)
		p.register(f)
		return func(ctx context.Context, s *session, args []string) error {
			return p.propose(ctx, s, controlapi.Change{Kind: kind, Zone: args[0]})
		}
	}
}

func planShow(*flag.FlagSet) action {
	return func(ctx context.Context, s *session, args []string) error {
		p, err := s.client.Proposal(ctx, args[0])
		if err != nil {
			return err
		}
		return s.print(p, func(w io.Writer) error { return printProposal(w, p) })
	}
}

// planSign fetches a proposal and signs its digest. It recomputes the digest from
// the content, so a process that shows one change and sends the digest of another
// gets no signature.
func planSign(reject bool) func(f *flag.FlagSet) action {
	return func(f *flag.FlagSet) action {
		owner := f.String("owner", "", "name of the owner who signs")
		path := f.String("key", "", "file of the owner's private key")
		return func(ctx context.Context, s *session, args []string) error {
			if *owner == "" || *path == "" {
				return usagef("-owner and -key are required")
			}
			key, err := keys.Load(*path)
			if err != nil {
				return err
			}
			p, err := s.client.Proposal(ctx, args[0])
			if err != nil {
				return err
			}
			if err := s.checkDigest(p); err != nil {
				return err
			}
			p, err = s.client.Sign(ctx, controlapi.SignRequest{
				ChangeID: args[0], Owner: *owner, Reject: reject, Signature: plan.Signature(key, p.Digest, reject),
			})
			if err != nil {
				return err
			}
			return s.print(p, func(w io.Writer) error { return printProposal(w, p) })
		}
	}
}

// checkDigest verifies that the digest of a proposal matches its content.
func (s *session) checkDigest(p *controlapi.Proposal) error {
	content := controlapi.ProposeRequest{ChangeID: p.ChangeID, Base: p.Base, Change: p.Change}
	if plan.Digest(content) == p.Digest {
		return nil
	}
	content.Force = true
	if plan.Digest(content) == p.Digest {
		s.note("this change overrides the check that the capacity promised by the plans exists")
		return nil
	}
	return Error.New("step=sign change=%s: the digest does not match the content shown", p.ChangeID)
}

func planPending(f *flag.FlagSet) action {
	return func(ctx context.Context, s *session, _ []string) error {
		all, err := s.client.Proposals(ctx, 0)
		if err != nil {
			return err
		}
		open := []controlapi.Proposal{}
		for _, p := range all {
			if p.State == controlapi.ProposalOpen {
				open = append(open, p)
			}
		}
		return s.print(open, func(w io.Writer) error { return proposalTable(open).Print(w) })
	}
}

func planHistory(f *flag.FlagSet) action {
	limit := f.Int("limit", 0, "maximum number of proposals; 0 for all")
	return func(ctx context.Context, s *session, _ []string) error {
		decided, err := s.client.History(ctx, *limit)
		if err != nil {
			return err
		}
		return s.print(decided, func(w io.Writer) error { return proposalTable(decided).Print(w) })
	}
}

func proposalTable(proposals []controlapi.Proposal) *table.Table {
	t := table.New("CHANGE", "KIND", "STATE", "BASE", "REVISION", "SIGNERS", "IN FORCE", "REASON")
	for _, p := range proposals {
		t.Row(p.ChangeID, p.Change.Kind, p.State, p.Base, p.Revision, strings.Join(p.Signers, ","), p.InForce, reasonOf(p))
	}
	return t
}

func reasonOf(p controlapi.Proposal) string {
	if p.Winner != "" {
		return "lost against " + p.Winner
	}
	return p.Reason
}

func printProposal(w io.Writer, p *controlapi.Proposal) error {
	if err := proposalTable([]controlapi.Proposal{*p}).Print(w); err != nil {
		return err
	}
	fmt.Fprintf(w, "digest %s\n", p.Digest)
	if p.Change.Zone != "" {
		fmt.Fprintf(w, "zone %s\n", p.Change.Zone)
	}
	for _, line := range p.Diff {
		fmt.Fprintln(w, line)
	}
	if len(p.LaggingBy) > 0 {
		fmt.Fprintf(w, "not yet in force at: %s\n", strings.Join(p.LaggingBy, ", "))
	}
	return nil
}

// newID returns a random id of 80 bits, which makes collisions within a deployment
// negligible.
func newID() string {
	id := make([]byte, 10)
	_, _ = rand.Read(id)
	return hex.EncodeToString(id)
}
