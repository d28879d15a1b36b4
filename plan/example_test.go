package plan_test

import (
	"crypto/ed25519"
	"encoding/base64"
	"fmt"
	"time"

	"github.com/ibispier/ibispier/controlapi"
	"github.com/ibispier/ibispier/plan"
)

func Example() {
	key := func(b byte) ed25519.PrivateKey {
		return ed25519.NewKeyFromSeed(append(make([]byte, ed25519.SeedSize-1), b))
	}
	public := func(k ed25519.PrivateKey) string {
		return base64.StdEncoding.EncodeToString(k.Public().(ed25519.PublicKey))
	}
	ann, ben := key(1), key(2)
	now := time.Unix(0, 0)
	registry := plan.NewRegistry()
	_, _ = registry.Propose(now, controlapi.ProposeRequest{ChangeID: "owners", Change: controlapi.Change{
		Kind: controlapi.ChangeOwners, Owners: map[string]string{"ann": public(ann), "ben": public(ben)},
	}}, plan.Offer{})

	p, _ := registry.Propose(now, controlapi.ProposeRequest{ChangeID: "repair", Base: 1, Change: controlapi.Change{
		Kind: controlapi.ChangeZoneOut, Zone: "nl-west-a",
	}}, plan.Offer{})
	fmt.Println(p.State, p.Diff)
	_, _ = registry.Sign(now, controlapi.SignRequest{ChangeID: "repair", Owner: "ann", Signature: plan.Signature(ann, p.Digest, false)}, plan.Offer{})
	p, _ = registry.Sign(now, controlapi.SignRequest{ChangeID: "repair", Owner: "ben", Signature: plan.Signature(ben, p.Digest, false)}, plan.Offer{})
	fmt.Println(p.State, p.Revision, registry.Config().ZonesOut)
	// Output:
	// open [~ zone nl-west-a: in service -> out of service]
	// accepted 2 [nl-west-a]
}
