package convert

import (
	"reflect"
	"testing"
	"time"

	"github.com/ibispier/ibispier/request"
)

func attempt() *request.Attempt {
	return &request.Attempt{
		Number: 7, Target: "target-1", ClaimEpoch: 3,
		Request: &request.Request{
			ID: "r1", Customer: "c", Service: "s", Key: "k", Method: "POST", Path: "/lots?x=1",
			Deadline: time.Unix(100, 0), Body: []byte("body"),
			Header: []request.Field{{Name: "Accept", Value: "a"}, {Name: "Accept", Value: "b"}},
		},
	}
}

// Guards against a field that is not encoded or not decoded.
func TestAttemptRoundTrip(t *testing.T) {
	now := time.Unix(99, 0)
	want := attempt()
	got, err := AttemptFromWire(AttemptToFrame(want, now).GetRequest(), now)
	if err != nil || !reflect.DeepEqual(got, want) {
		t.Fatalf("got %+v, %v", got, err)
	}
}

// Guards against a body that is accepted although bytes are missing, added or
// changed.
func TestDamagedBodiesAreRefused(t *testing.T) {
	resp := &request.Response{Outcome: request.Done, Status: 200, Body: []byte("whole answer")}
	tests := map[string]func([]byte) []byte{
		"truncated": func(b []byte) []byte { return b[:len(b)-1] },
		"longer":    func(b []byte) []byte { return append(b, 0) },
		"flipped":   func(b []byte) []byte { b[3] ^= 1; return b },
	}
	for name, damage := range tests {
		t.Run(name, func(t *testing.T) {
			m := ResponseToFrame(attempt(), resp, request.Load{}).GetResponse()
			m.Body = damage(append([]byte(nil), m.Body...))
			if _, _, err := ResponseFromWire(m); err != ErrDamaged {
				t.Fatalf("response: got %v, want %v", err, ErrDamaged)
			}
			in := AttemptToFrame(attempt(), time.Now()).GetRequest()
			in.Body = damage(append([]byte(nil), in.Body...))
			if _, err := AttemptFromWire(in, time.Now()); err != ErrDamaged {
				t.Fatalf("request: got %v, want %v", err, ErrDamaged)
			}
		})
	}
}
