package applier

import (
	"crypto/ed25519"
	"encoding/base64"
	"fmt"
	"maps"
	"math"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"github.com/ibispier/ibispier/controlapi"
	"github.com/ibispier/ibispier/plan"
)

var owners = map[string]ed25519.PrivateKey{
	"ann": ed25519.NewKeyFromSeed(make([]byte, ed25519.SeedSize)),
	"ben": ed25519.NewKeyFromSeed(append(make([]byte, ed25519.SeedSize-1), 1)),
}

func ownersChange() *controlapi.ProposeRequest {
	keys := map[string]string{}
	for name, key := range owners {
		keys[name] = base64.StdEncoding.EncodeToString(key.Public().(ed25519.PublicKey))
	}
	return &controlapi.ProposeRequest{ChangeID: "owners", Change: controlapi.Change{Kind: controlapi.ChangeOwners, Owners: keys}}
}

func zoneChange(id string, base uint64) *controlapi.ProposeRequest {
	return &controlapi.ProposeRequest{ChangeID: id, Base: base, Change: controlapi.Change{Kind: controlapi.ChangeZoneOut, Zone: id}}
}

func signature(owner string, p *controlapi.ProposeRequest) *controlapi.SignRequest {
	return &controlapi.SignRequest{ChangeID: p.ChangeID, Owner: owner, Signature: plan.Signature(owners[owner], plan.Digest(*p), false)}
}

// readProposal is the model input for reading a proposal.
type readProposal struct{ id string }

// client performs operations one after the other and resends each one until it
// gets a response, as controlclient does.
type client struct {
	id       int
	op       controlapi.Operation
	body     any
	received []*recordedReply // the sent requests whose responses are not lost
	sent     []*recordedReply
	started  int64
	granted  controlapi.ClaimResponse // the last granted claim
	key      string
}

// history runs clients against a cluster and records their operations.
type history struct {
	cluster        *cluster
	clients        []*client
	time           int64
	operationCount int
	baseByChange   map[string]uint64
	records        []porcupine.Operation
}

func (h *history) startOperation(c *client) {
	h.operationCount++
	rnd := h.cluster.rnd
	key := controlapi.Key{Customer: "c", Service: "s", Key: fmt.Sprint("k", rnd.Intn(2))}
	change := fmt.Sprint("c", rnd.Intn(6)) // clients share change ids
	if _, known := h.baseByChange[change]; !known {
		h.baseByChange[change] = 1 + uint64(rnd.Intn(3))
	}
	switch rnd.Intn(6) {
	case 0, 1:
		c.op, c.body = controlapi.OpClaim, &controlapi.ClaimRequest{Key: key, Digest: "d", Target: fmt.Sprint("t", c.id), Claimant: fmt.Sprint(h.operationCount)}
		c.key = key.Key
	case 2:
		if c.granted.Epoch == 0 {
			h.startOperation(c)
			return
		}
		outcome := controlapi.Recorded{Outcome: []string{"done", "not-run"}[rnd.Intn(2)]}
		c.op, c.body = controlapi.OpResolve, &controlapi.ResolveRequest{Key: controlapi.Key{Customer: "c", Service: "s", Key: c.key}, Epoch: c.granted.Epoch, Outcome: outcome}
		c.granted = controlapi.ClaimResponse{}
	case 3:
		c.op, c.body = controlapi.OpPropose, zoneChange(change, h.baseByChange[change])
	case 4:
		c.op, c.body = controlapi.OpSign, signature([]string{"ann", "ben"}[rnd.Intn(2)], zoneChange(change, h.baseByChange[change]))
	default:
		c.op, c.body = controlapi.OpConfig, &controlapi.ConfigRequest{}
	}
	c.started = h.tick()
	c.received, c.sent = nil, nil
}

func (h *history) tick() int64 {
	h.time++
	return h.time
}

// step makes a client send, resend, or process a response, possibly the response
// to an earlier copy of the request. Some responses are lost.
func (h *history) step(c *client) {
	if c.op == "" {
		h.startOperation(c)
	}
	for _, a := range c.received {
		if a.count > 0 && (a.Status == OK || a.Status == Refused) {
			h.finish(c, a)
			return
		}
	}
	if len(c.sent) == 0 || h.cluster.rnd.Intn(4) == 0 {
		a := h.cluster.request(h.cluster.rnd.Intn(len(h.cluster.members)), c.op, c.body)
		c.sent = append(c.sent, a)
		if h.cluster.rnd.Intn(4) > 0 {
			c.received = append(c.received, a)
		}
	}
}

func (h *history) finish(c *client, a *recordedReply) {
	claim, isClaim := a.Body.(*controlapi.ClaimResponse)
	if isClaim && claim.State == controlapi.ClaimGranted {
		c.granted = *claim
	}
	record := porcupine.Operation{ClientId: c.id, Input: c.body, Call: c.started, Output: a.Response, Return: h.tick()}
	if p, ok := a.Body.(controlapi.Proposal); ok && len(c.sent) > 1 {
		// The response to a resent request has the current state of the proposal,
		// which can be later than the effect of the first copy.
		read := record
		read.Input = readProposal{p.ChangeID}
		h.records = append(h.records, read)
		record.Output = nil
	}
	h.records = append(h.records, record)
	if a.Status == Refused || isClaim && claim.State == controlapi.ClaimPending {
		h.recordPendingCopies(c, a)
	}
	c.op = ""
}

// recordPendingCopies records the unanswered copies of an operation that had no
// effect so far as operations of unknown result, since they may still take effect.
func (h *history) recordPendingCopies(c *client, answered *recordedReply) {
	for i, a := range c.sent {
		if a != answered && (a.count == 0 || a.Status == Unavailable) {
			h.records = append(h.records, porcupine.Operation{ClientId: 100 + len(h.records) + i, Input: c.body, Call: c.started, Output: nil, Return: math.MaxInt64})
		}
	}
}

func (h *history) injectEvent() {
	c := h.cluster
	i := c.rnd.Intn(len(c.members))
	switch c.rnd.Intn(12) {
	case 0:
		if c.rnd.Intn(4) == 0 {
			c.elect(i)
		}
	case 1:
		c.sendStatus(i)
	case 2:
		c.advance(time.Duration(c.rnd.Intn(200)) * time.Millisecond)
	case 3:
		if c.rnd.Intn(8) == 0 {
			c.restart(i)
		}
	case 4, 5:
		c.confirmReads()
	case 6, 7, 8:
		c.commit(c.rnd.Intn(3))
	default:
		c.deliver(i, c.rnd.Intn(4))
	}
	c.flush()
}

func runHistory(t *testing.T, seed int64) []porcupine.Operation {
	h := &history{cluster: newCluster(3, seed), baseByChange: map[string]uint64{}}
	h.cluster.elect(0)
	mustRequest[controlapi.Proposal](t, h.cluster, 0, controlapi.OpPropose, ownersChange())
	for i := range 4 {
		h.clients = append(h.clients, &client{id: i})
	}
	for range 1500 {
		h.step(h.clients[h.cluster.rnd.Intn(len(h.clients))])
		h.injectEvent()
	}
	h.drain(t, seed)
	return h.records
}

// drain completes all operations under a stable leader.
func (h *history) drain(t *testing.T, seed int64) {
	h.cluster.elect(1)
	for _, c := range h.clients {
		c.received = nil
		for range 200 {
			if c.op == "" {
				break
			}
			h.step(c)
			h.cluster.settle()
		}
		if c.op != "" {
			t.Fatalf("seed %d: %s of client %d got no response", seed, c.op, c.id)
		}
	}
}

// Guards against an acknowledged operation that is lost, takes effect twice, or
// was served from old state. The histories contain leader changes with uncommitted
// entries, lagging members, deposed leaders, lost responses and resent requests.
func TestHistoriesAreLinearizable(t *testing.T) {
	seeds := int64(60)
	if testing.Short() {
		seeds = 5
	}
	for seed := range seeds {
		records := runHistory(t, seed)
		if len(records) < 40 {
			t.Fatalf("seed %d: only %d operations completed", seed, len(records))
		}
		if result := porcupine.CheckOperationsTimeout(model, records, time.Minute); result != porcupine.Ok {
			t.Fatalf("seed %d: the check of %d operations for linearizability gave %s", seed, len(records), result)
		}
	}
}

// ledgerState is the model of one key, planState that of the configuration.
type ledgerState struct {
	phase    string // "", pending, done, not-run
	lateCopy bool   // claimed by a late copy; the actual epoch is unknown, but higher than epoch
	claimant string
	epoch    uint64
}

type proposalState struct {
	base  uint64
	ann   bool
	ben   bool
	state controlapi.ProposalState
}

type planState struct {
	revision  uint64
	proposals map[string]proposalState
}

var model = porcupine.Model{
	Partition: func(records []porcupine.Operation) [][]porcupine.Operation {
		parts := map[string][]porcupine.Operation{}
		for _, r := range records {
			parts[partitionKey(r.Input)] = append(parts[partitionKey(r.Input)], r)
		}
		var list [][]porcupine.Operation
		for _, p := range parts {
			list = append(list, p)
		}
		return list
	},
	Init: func() any { return nil },
	Step: func(st, input, output any) (bool, any) {
		r, known := output.(Response)
		switch in := input.(type) {
		case *controlapi.ClaimRequest:
			if !known {
				return true, stepLateClaim(ledgerOf(st), in)
			}
			return stepClaim(ledgerOf(st), in, r.Body.(*controlapi.ClaimResponse))
		case *controlapi.ResolveRequest:
			return stepResolve(ledgerOf(st), in, r.Body.(controlapi.ResolveResponse).Accepted)
		default:
			ok, next := stepPlan(planOf(st), input, r)
			return ok || !known, next
		}
	},
	Equal: func(a, b any) bool {
		if x, ok := a.(planState); ok {
			y, ok := b.(planState)
			return ok && x.revision == y.revision && maps.Equal(x.proposals, y.proposals)
		}
		return a == b
	},
}

func partitionKey(input any) string {
	switch in := input.(type) {
	case *controlapi.ClaimRequest:
		return in.Key.Key
	case *controlapi.ResolveRequest:
		return in.Key.Key
	default:
		return "plan"
	}
}

func ledgerOf(st any) ledgerState {
	s, _ := st.(ledgerState)
	return s
}

func planOf(st any) planState {
	s, ok := st.(planState)
	if !ok {
		return planState{revision: 1}
	}
	return planState{revision: s.revision, proposals: maps.Clone(s.proposals)}
}

// stepLateClaim lets a late copy of a claim claim a free key.
func stepLateClaim(s ledgerState, in *controlapi.ClaimRequest) ledgerState {
	if s.phase == "done" || s.phase == "pending" {
		return s
	}
	return ledgerState{phase: "pending", lateCopy: true, claimant: in.Claimant, epoch: s.epoch}
}

func stepClaim(s ledgerState, in *controlapi.ClaimRequest, out *controlapi.ClaimResponse) (bool, any) {
	if s.lateCopy && out.Epoch > s.epoch {
		s.lateCopy, s.epoch = false, out.Epoch
	}
	switch {
	case s.lateCopy:
		return false, s
	case s.phase == "done":
		return out.State == controlapi.ClaimRecorded && out.Epoch == s.epoch, s
	case s.phase == "pending" && s.claimant == in.Claimant:
		return out.State == controlapi.ClaimGranted && out.Epoch == s.epoch, s
	case s.phase == "pending":
		return out.State == controlapi.ClaimPending && out.Epoch == s.epoch, s
	}
	ok := out.State == controlapi.ClaimGranted && out.Epoch > s.epoch
	return ok, ledgerState{phase: "pending", claimant: in.Claimant, epoch: out.Epoch}
}

func stepResolve(s ledgerState, in *controlapi.ResolveRequest, accepted bool) (bool, any) {
	if s.lateCopy && in.Epoch <= s.epoch || in.Epoch < s.epoch {
		return accepted == (in.Outcome.Outcome == "not-run"), s
	}
	if s.epoch != in.Epoch {
		return !accepted, s
	}
	if s.phase != "pending" {
		return accepted == (s.phase == in.Outcome.Outcome), s
	}
	s.phase = in.Outcome.Outcome
	return accepted, s
}

func stepPlan(s planState, input any, r Response) (bool, any) {
	switch in := input.(type) {
	case *controlapi.ConfigRequest:
		return r.Body.(controlapi.ConfigResponse).Config.Revision == s.revision, s
	case readProposal:
		p, found := s.proposals[in.id]
		return found && hasProposalState(r, p.state), s
	case *controlapi.ProposeRequest:
		return stepPropose(s, in, r)
	default:
		return stepSign(s, input.(*controlapi.SignRequest), r)
	}
}

// hasProposalState reports whether a response holds a proposal in a state. The
// response of a copy of unknown result is empty.
func hasProposalState(r Response, want controlapi.ProposalState) bool {
	p, ok := r.Body.(controlapi.Proposal)
	return r.Status == OK && ok && p.State == want
}

func stepPropose(s planState, in *controlapi.ProposeRequest, r Response) (bool, any) {
	p, known := s.proposals[in.ChangeID]
	if !known {
		if in.Base > s.revision {
			return r.Status == Refused, s
		}
		p = proposalState{base: in.Base, state: controlapi.ProposalOpen}
		if in.Base != s.revision {
			p.state = controlapi.ProposalConflict
		}
		s = s.with(in.ChangeID, p)
	}
	return hasProposalState(r, p.state), s
}

func stepSign(s planState, in *controlapi.SignRequest, r Response) (bool, any) {
	p, known := s.proposals[in.ChangeID]
	if !known {
		return r.Status == Refused, s
	}
	if p.state == controlapi.ProposalOpen {
		p.ann = p.ann || in.Owner == "ann"
		p.ben = p.ben || in.Owner == "ben"
		if p.ann && p.ben {
			s = s.accept(in.ChangeID)
			p.state = controlapi.ProposalAccepted
		}
		s = s.with(in.ChangeID, p)
	}
	return hasProposalState(r, p.state), s
}

func (s planState) accept(id string) planState {
	s.revision++
	for other, p := range s.proposals {
		if other != id && p.state == controlapi.ProposalOpen {
			p.state = controlapi.ProposalConflict
			s.proposals[other] = p
		}
	}
	return s
}

func (s planState) with(id string, p proposalState) planState {
	if s.proposals == nil {
		s.proposals = map[string]proposalState{}
	}
	s.proposals[id] = p
	return s
}
