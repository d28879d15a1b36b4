package connlimit

import "testing"

// Guards against a crowd from one address that keeps others out, against a request
// under way that is cut off, and against connections that are counted twice.
func TestIdleConnectionsOfTheBusiestAddressGiveWay(t *testing.T) {
	table := New(3)
	active, _ := table.Add("crowd", "active")
	table.Active(active)
	idle, _ := table.Add("crowd", "idle")
	other, _ := table.Add("other", "other")
	added, displaced := table.Add("new", "new")
	if added == nil || displaced != idle || table.Held() != 3 {
		t.Fatalf("added=%v displaced=%v held=%d", added, displaced, table.Held())
	}
	table.Active(other)
	table.Active(added)
	if c, d := table.Add("late", "late"); c != nil || d != nil {
		t.Fatal("a connection with a request under way gave way")
	}
	for _, c := range []*Conn{active, idle, other, added, added} {
		table.Remove(c)
		table.Idle(c)
	}
	if table.Held() != 0 || table.idle.Len() != 0 || len(table.byAddress) != 0 {
		t.Fatalf("held=%d idle=%d addresses=%d after all have ended", table.Held(), table.idle.Len(), len(table.byAddress))
	}
}
