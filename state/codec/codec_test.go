package codec

import (
	"encoding/json"
	"reflect"
	"testing"
	"time"

	"github.com/ibispier/ibispier/controlapi"
	"github.com/ibispier/ibispier/lease"
	"github.com/ibispier/ibispier/plan"
	"github.com/ibispier/ibispier/state"
)

func commandOfEachKind() []state.Command {
	key := controlapi.Key{Customer: "c", Service: "s", Key: "k"}
	return []state.Command{
		{Claim: &controlapi.ClaimRequest{Key: key, Digest: "d", Target: "t", Claimant: "e/1"}},
		{Resolve: &controlapi.ResolveRequest{Key: key, Epoch: 1, Outcome: controlapi.Recorded{Outcome: "done", Status: 200, Body: []byte{0, 255}}}},
		{Submit: &controlapi.Task{ID: "t", Customer: "c", Kind: controlapi.KindBatch, Payload: []byte{1, 2}, Zones: []string{"a"}}},
		{Cancel: &controlapi.TaskQuery{ID: "t"}},
		{Place: &state.Place{Task: "t", Agent: "a", Zone: "z", Capacity: controlapi.Resources{CPUMilli: 5}}},
		{Report: &state.Report{Agent: "a", Tasks: []controlapi.ReportedTask{{Task: "t", Epoch: 1, State: controlapi.ReportedRunning}}}},
		{Evict: &state.Evict{Task: "t", Epoch: 1, Action: controlapi.ActionStop}},
		{Propose: &state.Propose{Request: controlapi.ProposeRequest{ChangeID: "c"}, Offer: plan.Offer{Slots: map[string]int{"s": 1}}}},
		{Sign: &state.Sign{Request: controlapi.SignRequest{ChangeID: "c", Owner: "ann"}}},
		{Expire: &state.Expire{Leases: []lease.Lease{{Task: "t", Epoch: 1}}}},
		{Quarantine: &state.Quarantine{Kind: state.QuarantineJob, Name: "t"}},
	}
}

// Encodes and decodes a command of each kind. Guards against a command or a field
// that the encoding of log entries loses.
func TestCommandsSurviveTheLog(t *testing.T) {
	for i, c := range commandOfEachKind() {
		c.ID = state.CommandID{Origin: 1 << 63, Sequence: uint64(i)}
		c.Now = time.Unix(123, 456)
		b, err := EncodeCommand(&c)
		if err != nil {
			t.Fatal(err)
		}
		got, err := DecodeCommand(b)
		if err != nil || !reflect.DeepEqual(*got, c) {
			t.Errorf("%+v became %+v, error %v", c, got, err)
		}
	}
}

// Guards against a corrupt or truncated log entry that decodes to a command.
func TestDamagedEntriesAreRefused(t *testing.T) {
	for _, b := range [][]byte{nil, make([]byte, headerBytes), append([]byte{Version, 99}, make([]byte, headerBytes)...)} {
		if c, err := DecodeCommand(b); err == nil {
			t.Errorf("%v decoded to %+v", b, c)
		}
	}
}

// Guards against a part of the state that the encoding of snapshots loses.
func TestImageSurvivesTheSnapshot(t *testing.T) {
	m := state.New(state.DefaultOptions())
	for i, c := range commandOfEachKind() {
		c.Now = time.Unix(int64(1000+i), 0)
		if c.Propose != nil {
			c.Propose.Request.Change = controlapi.Change{Kind: controlapi.ChangeOwners, Owners: map[string]string{
				"ann": "AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA=", "ben": "AQAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA="}}
		}
		m.Apply(&c)
	}
	if m.KeyCount() != 1 || m.Task("t") == nil || m.Config().Revision != 1 || len(m.Quarantined()) != 1 {
		t.Fatalf("a part of the state is empty, so the test would not cover it: %+v", m.Image())
	}
	b, err := EncodeImage(m.Image())
	if err != nil {
		t.Fatal(err)
	}
	img, err := DecodeImage(b)
	if err != nil {
		t.Fatal(err)
	}
	want, _ := json.Marshal(m.Image()) // with sorted maps, unlike gob
	got, _ := json.Marshal(state.Restore(state.DefaultOptions(), img).Image())
	if string(got) != string(want) {
		t.Errorf("the restored state is\n%s\nwant\n%s", got, want)
	}
}
