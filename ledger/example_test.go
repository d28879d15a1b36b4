package ledger_test

import (
	"fmt"
	"time"

	"github.com/ibispier/ibispier/controlapi"
	"github.com/ibispier/ibispier/ledger"
)

func Example() {
	l := ledger.New(ledger.DefaultOptions())
	now := time.Unix(0, 0)
	key := controlapi.Key{Customer: "veiling", Service: "settlement", Key: "lot-17"}
	first, _ := l.Claim(now, controlapi.ClaimRequest{Key: key, Digest: "d", Target: "runner-1", Claimant: "entry-1/1"})
	second, _ := l.Claim(now, controlapi.ClaimRequest{Key: key, Digest: "d", Target: "runner-2", Claimant: "entry-2/1"})
	fmt.Println(first.State, second.State, second.Target)

	l.Resolve(now, controlapi.ResolveRequest{Key: key, Epoch: first.Epoch, Outcome: controlapi.Recorded{Outcome: "done", Status: 201}})
	third, _ := l.Claim(now, controlapi.ClaimRequest{Key: key, Digest: "d", Target: "runner-2", Claimant: "entry-2/2"})
	fmt.Println(third.State, third.Outcome.Status)
	// Output:
	// granted pending runner-1
	// recorded 201
}
