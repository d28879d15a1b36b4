package controlclient

import (
	"errors"
	"testing"
	"time"

	"github.com/ibispier/ibispier/wire"
)

var testStart = time.Unix(1000, 0)

func after(d time.Duration) time.Time { return testStart.Add(d) }

// newLinkedTracker returns a tracker with links to all members.
func newLinkedTracker(members ...string) *tracker {
	t := newTracker(members)
	for _, m := range members {
		t.linkUp(testStart, m)
	}
	return t
}

// takeSend removes and returns the only pending send.
func (t *tracker) takeSend(test *testing.T) send {
	test.Helper()
	if len(t.sends) != 1 {
		test.Fatalf("%d sends, want 1", len(t.sends))
	}
	s := t.sends[0]
	t.sends = nil
	return s
}

func notLeader(hint string) response {
	return response{status: wire.ControlStatus_CONTROL_STATUS_NOT_LEADER, leader: hint}
}

// Guards against a call that is not sent to the leader that another member names.
func TestCallFollowsHint(t *testing.T) {
	tr := newLinkedTracker("a", "b", "c")
	tr.start(testStart, Call{Deadline: after(time.Second), CorrelationID: 7})
	s := tr.takeSend(t)
	tr.handleResponse(testStart, s.member, s.call.id, notLeader("c"))
	if s = tr.takeSend(t); s.member != "c" {
		t.Fatalf("sent to %s, want the named leader c", s.member)
	}
	tr.handleResponse(testStart, "c", s.call.id, response{status: wire.ControlStatus_CONTROL_STATUS_OK, payload: []byte("x")})
	if len(tr.completions) != 1 || tr.completions[0].result.CorrelationID != 7 || tr.leader != "c" {
		t.Fatalf("finishes %v, leader %q", tr.completions, tr.leader)
	}
}

// Guards against a call that two members with outdated information redirect to each
// other without a pause.
func TestHintsInACircleArePaced(t *testing.T) {
	tr := newLinkedTracker("a", "b")
	tr.start(testStart, Call{Deadline: after(time.Second)})
	for sends := 0; ; sends++ {
		if sends > maxRedirects+1 {
			t.Fatalf("%d sends without a pause", sends)
		}
		if len(tr.sends) == 0 {
			break
		}
		s := tr.takeSend(t)
		tr.handleResponse(testStart, s.member, s.call.id, notLeader(map[string]string{"a": "b", "b": "a"}[s.member]))
	}
	if wake, ok := tr.nextWakeup(); !ok || !wake.Equal(after(retryDelay)) {
		t.Fatalf("next wake %v", wake)
	}
}

// Guards against a call that stays at a member that does not respond or whose link
// is lost.
func TestSilenceAndLostLinkMoveTheCall(t *testing.T) {
	tr := newLinkedTracker("a", "b", "c")
	tr.start(testStart, Call{Deadline: after(3 * time.Second)})
	first := tr.takeSend(t)
	tr.handleTimeouts(after(responseTimeout - 1))
	if len(tr.sends) != 0 {
		t.Fatal("sent again before the response timeout")
	}
	tr.handleTimeouts(after(responseTimeout))
	second := tr.takeSend(t)
	tr.linkDown(after(responseTimeout), second.member)
	third := tr.takeSend(t)
	if first.member == second.member || second.member == third.member {
		t.Fatalf("sent to %s, %s, %s", first.member, second.member, third.member)
	}
}

// Guards against repeating a call whose response control holds, as in a long poll.
func TestHoldExtendsTheLimitOfSilence(t *testing.T) {
	tr := newLinkedTracker("a", "b")
	tr.start(testStart, Call{Deadline: after(time.Minute), MaxHold: 10 * time.Second})
	tr.takeSend(t)
	tr.handleTimeouts(after(10 * time.Second))
	if len(tr.sends) != 0 {
		t.Fatal("a held call was sent again")
	}
}

// Guards against a caller that waits beyond its deadline while no member is linked,
// and against a second result of a call.
func TestDeadlineEndsTheCall(t *testing.T) {
	tr := newTracker([]string{"a"})
	tr.start(testStart, Call{Deadline: after(time.Second)})
	tr.handleTimeouts(after(time.Second))
	if len(tr.completions) != 1 || !errors.Is(tr.completions[0].result.Err, ErrUnavailable) {
		t.Fatalf("finishes %v, want one ErrUnavailable", tr.completions)
	}
	tr.handleResponse(after(time.Second), "a", 1, response{status: wire.ControlStatus_CONTROL_STATUS_OK})
	if len(tr.completions) != 1 || len(tr.calls) != 0 {
		t.Fatal("the call ended twice")
	}
}

// Guards against repeating a call that control has refused.
func TestRefusalEndsTheCall(t *testing.T) {
	tr := newLinkedTracker("a")
	tr.start(testStart, Call{Deadline: after(time.Second)})
	s := tr.takeSend(t)
	tr.handleResponse(testStart, "a", s.call.id, response{status: wire.ControlStatus_CONTROL_STATUS_REFUSED, reason: "why"})
	var refused *RefusedError
	if len(tr.completions) != 1 || !errors.As(tr.completions[0].result.Err, &refused) || refused.Reason != "why" {
		t.Fatalf("finishes %v", tr.completions)
	}
}

// Guards against a caller that waits until the deadline of the call while there is
// no leader, and against ErrNoLeader for a call that a member may have executed
// without a response.
func TestPatienceEndsTheSearchForALeader(t *testing.T) {
	for _, silent := range []bool{false, true} {
		tr := newLinkedTracker("a")
		tr.start(testStart, Call{Deadline: after(3 * time.Second), LeaderDeadline: after(time.Second)})
		if silent {
			tr.handleTimeouts(after(responseTimeout))
		}
		for at := responseTimeout; at <= 3*time.Second; at += retryDelay {
			for _, s := range tr.sends {
				tr.handleResponse(after(at), s.member, s.call.id, notLeader(""))
			}
			tr.sends = nil
			tr.handleTimeouts(after(at))
			if at == time.Second+retryDelay && (len(tr.completions) == 1) == silent {
				t.Fatalf("silent=%v: finished after %s: %v", silent, at, tr.completions)
			}
		}
		want := ErrNoLeader
		if silent {
			want = ErrUnavailable
		}
		if len(tr.completions) != 1 || !errors.Is(tr.completions[0].result.Err, want) {
			t.Fatalf("silent=%v: finishes %v, want %v", silent, tr.completions, want)
		}
	}
}
