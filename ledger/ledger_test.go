package ledger

import (
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

var start = time.Unix(1_000_000, 0)

func claimOf(key, digest, claimant, target string) controlapi.ClaimRequest {
	return controlapi.ClaimRequest{Key: controlapi.Key{Customer: "c", Service: "s", Key: key},
		Digest: digest, Claimant: claimant, Target: target}
}

func outcome(kind, body string) controlapi.Recorded {
	return controlapi.Recorded{Outcome: kind, Status: 200, Body: []byte(body)}
}

// Guards against a second run of an old request: a key that has left the
// retention window must be refused by its age, and one inside the window must
// still be known.
func TestRetentionWindow(t *testing.T) {
	l := New(DefaultOptions())
	first, _ := l.Claim(start, claimOf("k", "d", "e1/1", "t"))
	l.Resolve(start, controlapi.ResolveRequest{Key: claimOf("k", "", "", "").Key, Epoch: first.Epoch, Outcome: outcome("done", "x")})
	for _, age := range []time.Duration{0, time.Hour, DefaultRetention - time.Millisecond, DefaultRetention, DefaultRetention + time.Hour} {
		r := claimOf("k", "d", "e2/1", "t")
		r.IssuedAgeMillis = age.Milliseconds()
		got, err := l.Claim(start.Add(age), r)
		want := controlapi.ClaimRecorded
		if age >= DefaultRetention {
			want = controlapi.ClaimExpired
		}
		if err != nil || got.State != want {
			t.Errorf("age %s: %s, %v, want %s", age, got.State, err, want)
		}
	}
	if got, _ := l.Claim(start.Add(25*time.Hour), claimOf("new", "d", "e", "t")); got.State != controlapi.ClaimGranted || l.Len() != 1 {
		t.Errorf("state %s, %d keys, want the expired key dropped", got.State, l.Len())
	}
}

// Guards against unbounded memory for keys and recorded bodies.
func TestBounds(t *testing.T) {
	l := New(Options{Retention: time.Hour, MaxKeys: 4, MaxBodyBytes: 4, MaxTotalBodyBytes: 8})
	for i, body := range []string{"aaaa", "bbbb", "ccccc", "dddd"} {
		r := claimOf(fmt.Sprint(i), "d", "e", "t")
		c, err := l.Claim(start, r)
		if err != nil {
			t.Fatal(err)
		}
		l.Resolve(start, controlapi.ResolveRequest{Key: r.Key, Epoch: c.Epoch, Outcome: outcome("done", body)})
	}
	if _, err := l.Claim(start, claimOf("4", "d", "e", "t")); err != ErrFull {
		t.Fatalf("error %v, want ErrFull", err)
	}
	for i, want := range []string{"", "bbbb", "", "dddd"} {
		c, _ := l.Claim(start, claimOf(fmt.Sprint(i), "d", "other", "t"))
		if c.State != controlapi.ClaimRecorded || string(c.Outcome.Body) != want || (want == "") != (c.Outcome.Reason == ReasonBodyNotKept) {
			t.Errorf("key %d: %+v, want body %q", i, c.Outcome, want)
		}
	}
}

// model is the expected state of one key.
type model struct {
	digest   string
	pending  bool
	claimant string
	epoch    uint64
	outcome  string
	past     map[string]bool // claimants that have held the key
}

// Guards against two runs of one key. Causes: races between claimants, answers
// that are lost and sent again, late copies of old claims, resolutions with old
// epochs, and snapshots that lose state.
func TestLedgerAgainstMap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := New(DefaultOptions())
		keys := map[string]*model{}
		var lastEpoch uint64
		drawKey := func(t *rapid.T) string { return rapid.SampledFrom([]string{"k1", "k2", "k3"}).Draw(t, "key") }
		t.Repeat(map[string]func(*rapid.T){
			"claim": func(t *rapid.T) {
				key := drawKey(t)
				digest := rapid.SampledFrom([]string{"d", "d", "d", "other"}).Draw(t, "digest")
				claimant := rapid.SampledFrom([]string{"e1/1", "e1/2", "e2/1", "e2/2"}).Draw(t, "claimant")
				got, err := l.Claim(start, claimOf(key, digest, claimant, "target of "+claimant))
				if err != nil {
					t.Fatal(err)
				}
				m := keys[key]
				if m == nil {
					m = &model{digest: digest, past: map[string]bool{}}
					keys[key] = m
				}
				checkClaim(t, m, digest, claimant, got, &lastEpoch)
			},
			"resolve": func(t *rapid.T) {
				key := drawKey(t)
				m := keys[key]
				if m == nil || m.epoch == 0 {
					return
				}
				behind := rapid.Uint64Range(0, 2).Draw(t, "behind")
				kind := rapid.SampledFrom([]string{"done", "not-run", "unknown"}).Draw(t, "outcome")
				epoch := m.epoch - min(behind, m.epoch)
				got := l.Resolve(start, controlapi.ResolveRequest{Key: claimOf(key, "", "", "").Key, Epoch: epoch, Outcome: outcome(kind, "x")})
				checkResolve(t, m, epoch, kind, got)
			},
			"restore": func(t *rapid.T) {
				img := l.Image()
				l = Restore(DefaultOptions(), img)
				if !reflect.DeepEqual(l.Image(), img) {
					t.Fatal("a restored ledger differs")
				}
			},
		})
	})
}

func checkClaim(t *rapid.T, m *model, digest, claimant string, got controlapi.ClaimResponse, lastEpoch *uint64) {
	want := controlapi.ClaimGranted
	switch {
	case digest != m.digest:
		want = controlapi.ClaimConflict
	case m.outcome != "" && m.outcome != "not-run":
		want = controlapi.ClaimRecorded
	case m.pending && claimant != m.claimant, !m.pending && m.claimant == claimant && m.past[claimant]:
		want = controlapi.ClaimPending
	}
	if got.State != want {
		t.Fatalf("claim by %s: %s, want %s (%+v)", claimant, got.State, want, m)
	}
	if want != controlapi.ClaimGranted {
		if want == controlapi.ClaimRecorded && got.Outcome.Outcome != m.outcome {
			t.Fatalf("recorded %s, want %s", got.Outcome.Outcome, m.outcome)
		}
		return
	}
	if m.pending {
		if got.Epoch != m.epoch {
			t.Fatalf("a resent claim got epoch %d, want %d", got.Epoch, m.epoch)
		}
		return
	}
	if got.Epoch <= *lastEpoch {
		t.Fatalf("epoch %d after %d", got.Epoch, *lastEpoch)
	}
	*lastEpoch = got.Epoch
	m.pending, m.claimant, m.epoch, m.outcome = true, claimant, got.Epoch, ""
	m.past[claimant] = true
}

// checkResolve verifies the result of a Resolve. A claim with an earlier epoch
// has ended as "not run", so only a copy of that outcome is accepted for it,
// without effect.
func checkResolve(t *rapid.T, m *model, epoch uint64, kind string, got bool) {
	final := m.outcome == "done" || m.outcome == "not-run"
	want := !final || kind == m.outcome
	if epoch < m.epoch {
		want = epoch > 0 && kind == "not-run"
	}
	if got != want {
		t.Fatalf("resolve epoch %d as %s: %v, want %v (%+v)", epoch, kind, got, want, m)
	}
	if epoch == m.epoch && !final {
		m.pending, m.outcome = false, kind
	}
}
