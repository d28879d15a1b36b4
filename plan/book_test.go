package plan

import (
	"crypto/ed25519"
	"encoding/base64"
	"fmt"
	"os"
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/ibispier/ibispier/controlapi"
	"github.com/ibispier/ibispier/internal/testseed"
)

func TestMain(m *testing.M) {
	testseed.Fix()
	os.Exit(m.Run())
}

var now = time.Unix(1000, 0)

func ownerKey(name string) ed25519.PrivateKey {
	seed := make([]byte, ed25519.SeedSize)
	copy(seed, name)
	return ed25519.NewKeyFromSeed(seed)
}

func ownersOf(names ...string) map[string]string {
	m := map[string]string{}
	for _, n := range names {
		m[n] = base64.StdEncoding.EncodeToString(ownerKey(n).Public().(ed25519.PublicKey))
	}
	return m
}

func newOwnedRegistry(t interface{ Fatal(...any) }) *Registry {
	b := NewRegistry()
	p, err := b.Propose(now, controlapi.ProposeRequest{ChangeID: "owners",
		Change: controlapi.Change{Kind: controlapi.ChangeOwners, Owners: ownersOf("ann", "ben", "cas")}}, Offer{})
	if err != nil || p.State != controlapi.ProposalAccepted {
		t.Fatal(p, err)
	}
	return b
}

// signatureCache avoids repeated signing, which is slow under the race
// detector.
var signatureCache = map[string]string{}

func signBy(owner, digest, changeID string, reject bool) controlapi.SignRequest {
	id := fmt.Sprint(owner, digest, reject)
	if signatureCache[id] == "" {
		signatureCache[id] = Signature(ownerKey(owner), digest, reject)
	}
	return controlapi.SignRequest{ChangeID: changeID, Owner: owner, Reject: reject, Signature: signatureCache[id]}
}

func zoneOut(id string, base uint64, zone string) controlapi.ProposeRequest {
	return controlapi.ProposeRequest{ChangeID: id, Base: base,
		Change: controlapi.Change{Kind: controlapi.ChangeZoneOut, Zone: zone}}
}

// Guards against a change accepted on the signature of one owner: given twice,
// alone, under the name of another owner, or made for another proposal.
func TestOneOwnerCanNotAccept(t *testing.T) {
	b := newOwnedRegistry(t)
	p, _ := b.Propose(now, zoneOut("c", 1, "a"), Offer{})
	q, _ := b.Propose(now, zoneOut("d", 1, "a"), Offer{})
	for range 2 {
		if r, err := b.Sign(now, signBy("ann", p.Digest, "c", false), Offer{}); err != nil || r.State != controlapi.ProposalOpen {
			t.Fatalf("state %s, error %v after signatures of one owner", r.State, err)
		}
	}
	forged := signBy("ann", p.Digest, "c", false)
	forged.Owner = "ben"
	reused := signBy("ben", q.Digest, "c", false)
	flipped := signBy("ben", p.Digest, "c", true)
	flipped.Reject = false
	for _, r := range []controlapi.SignRequest{forged, reused, flipped, {ChangeID: "c", Owner: "eve"}} {
		if got, err := b.Sign(now, r, Offer{}); err == nil {
			t.Fatalf("signature %+v gave %+v", r, got)
		}
	}
	if b.Config().Revision != 1 {
		t.Fatalf("revision %d", b.Config().Revision)
	}
	same := ownersOf("ann")
	same["bob"] = same["ann"]
	_, err := b.Propose(now, controlapi.ProposeRequest{ChangeID: "o", Base: 1,
		Change: controlapi.Change{Kind: controlapi.ChangeOwners, Owners: same}}, Offer{})
	if err == nil {
		t.Fatal("two owners with one key were taken")
	}
}

// Guards against accepting plans that need more capacity than there is.
func TestPromisesBeyondTheOfferAreRefused(t *testing.T) {
	lists := func(customers int, force bool) controlapi.ProposeRequest {
		r := controlapi.ProposeRequest{ChangeID: fmt.Sprint("lists", customers, force), Base: 1, Force: force,
			Change: controlapi.Change{Kind: controlapi.ChangeLists, Plans: []controlapi.Plan{
				{Name: "small", Services: []string{"quote"}, Concurrency: 2, CPUMilli: 1000, Tasks: 1}}}}
		for i := range customers {
			r.Change.Customers = append(r.Change.Customers, controlapi.Subscription{Customer: fmt.Sprint(i), Plan: "small"})
		}
		return r
	}
	for _, c := range []struct {
		offer Offer
		ok    bool
	}{
		{Offer{Slots: map[string]int{"quote": 6}, Workers: controlapi.Resources{CPUMilli: 3000}}, true},
		{Offer{Slots: map[string]int{"quote": 5}, Workers: controlapi.Resources{CPUMilli: 3000}}, false},
		{Offer{Slots: map[string]int{"quote": 6}, Workers: controlapi.Resources{CPUMilli: 2999}}, false},
		{Offer{Slots: map[string]int{"other": 6}, Workers: controlapi.Resources{CPUMilli: 3000}}, false},
	} {
		b := newOwnedRegistry(t)
		if _, err := b.Propose(now, lists(3, false), c.offer); (err == nil) != c.ok {
			t.Errorf("offer %+v: error %v, want accepted %v", c.offer, err, c.ok)
		}
		p, err := b.Propose(now, lists(3, true), c.offer)
		if err != nil {
			t.Errorf("offer %+v: forced lists refused: %v", c.offer, err)
		}
		// Capacity is checked again when the second owner signs.
		q, err := b.Propose(now, lists(2, false), Offer{Slots: map[string]int{"quote": 4}, Workers: controlapi.Resources{CPUMilli: 2000}})
		if err != nil {
			t.Fatal(err)
		}
		_, _ = b.Sign(now, signBy("ann", q.Digest, q.ChangeID, false), Offer{})
		if got, err := b.Sign(now, signBy("ben", q.Digest, q.ChangeID, false), Offer{}); err == nil {
			t.Errorf("accepted without capacity: %+v", got)
		}
		_, _ = b.Sign(now, signBy("ann", p.Digest, p.ChangeID, false), Offer{})
		if got, err := b.Sign(now, signBy("ben", p.Digest, p.ChangeID, false), Offer{}); err != nil || got.State != controlapi.ProposalAccepted {
			t.Errorf("forced lists: %+v, %v", got, err)
		}
	}
}

// oracle is a simple model of a Registry: the first answer to each proposal,
// its signers, and the change accepted on each base.
type oracle struct {
	revision uint64
	requests map[string]controlapi.ProposeRequest
	signed   map[string]map[string]bool
	final    map[string]controlapi.Proposal
	winner   map[uint64]string
}

// Guards against races between proposals: two changes accepted on one base, a
// decision that changes, a resent change id with another answer, a revision
// that goes back, and a snapshot that loses any of these.
func TestBookAgainstOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := newOwnedRegistry(t)
		o := &oracle{revision: 1, requests: map[string]controlapi.ProposeRequest{}, signed: map[string]map[string]bool{},
			final: map[string]controlapi.Proposal{}, winner: map[uint64]string{0: "owners"}}
		t.Repeat(map[string]func(*rapid.T){
			"propose": func(t *rapid.T) { o.propose(t, b) },
			"sign":    func(t *rapid.T) { o.sign(t, b) },
			"restore": func(t *rapid.T) {
				img := b.Image()
				b = Restore(img)
				if !reflect.DeepEqual(b.Image(), img) {
					t.Fatal("a restored registry differs")
				}
			},
			"": func(t *rapid.T) { o.compare(t, b) },
		})
	})
}

func (o *oracle) propose(t *rapid.T, b *Registry) {
	id := fmt.Sprint("c", rapid.IntRange(0, 12).Draw(t, "id"))
	base := o.revision - min(o.revision, rapid.Uint64Range(0, 2).Draw(t, "behind"))
	r := zoneOut(id, base, rapid.SampledFrom([]string{"a", "b"}).Draw(t, "zone"))
	p, err := b.Propose(now, r, Offer{})
	first, resent := o.requests[id]
	switch {
	case resent && !reflect.DeepEqual(first, r):
		if err == nil {
			t.Fatalf("change id %s was taken for two changes", id)
		}
	case err != nil:
		t.Fatal(err)
	case resent:
		return
	case base != o.revision:
		if p.State != controlapi.ProposalConflict || p.Winner != o.winner[base] {
			t.Fatalf("old base: %+v, want a conflict with %s", p, o.winner[base])
		}
		o.requests[id], o.final[id] = r, p
	default:
		o.requests[id], o.signed[id] = r, map[string]bool{}
	}
}

func (o *oracle) sign(t *rapid.T, b *Registry) {
	id := fmt.Sprint("c", rapid.IntRange(0, 12).Draw(t, "id"))
	r, known := o.requests[id]
	if !known {
		return
	}
	owner := rapid.SampledFrom([]string{"ann", "ben", "cas"}).Draw(t, "owner")
	reject := rapid.IntRange(0, 9).Draw(t, "reject") == 0
	p, err := b.Sign(now, signBy(owner, Digest(r), id, reject), Offer{})
	if err != nil {
		t.Fatal(err)
	}
	if _, decided := o.final[id]; decided {
		return
	}
	if reject {
		o.final[id] = p
		return
	}
	o.signed[id][owner] = true
	if len(o.signed[id]) < 2 {
		return
	}
	o.revision++
	o.winner[r.Base] = id
	for other := range o.requests {
		if _, decided := o.final[other]; !decided {
			o.final[other], _ = b.Proposal(other)
		}
	}
	if p.State != controlapi.ProposalAccepted || p.Revision != o.revision {
		t.Fatalf("two owners signed on a current base: %+v", p)
	}
}

func (o *oracle) compare(t *rapid.T, b *Registry) {
	if b.Config().Revision != o.revision {
		t.Fatalf("revision %d, want %d", b.Config().Revision, o.revision)
	}
	for id := range o.requests {
		p, _ := b.Proposal(id)
		final, decided := o.final[id]
		if decided && !reflect.DeepEqual(p, final) {
			t.Fatalf("decision changed from %+v to %+v", final, p)
		}
		if !decided && p.State != controlapi.ProposalOpen {
			t.Fatalf("%s is %s, want open", id, p.State)
		}
		if p.State == controlapi.ProposalConflict && p.Winner != o.winner[p.Base] {
			t.Fatalf("conflict names %s, want %s", p.Winner, o.winner[p.Base])
		}
	}
}
