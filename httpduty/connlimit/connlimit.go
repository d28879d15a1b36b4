// Package connlimit decides which connections a listener holds. When it holds as many
// as it may, an idle connection gives way to a new one.
//
// The package is pure: the caller closes the connections that give way. A Table is not
// safe for concurrent use.
package connlimit

import "container/list"

// Conn is a connection that is held.
type Conn struct {
	Owner   any // of the caller
	address string
	idle    *list.Element // in Table.idle; nil while a request is under way
	removed bool
}

// Table is the state of the connections of one listener.
type Table struct {
	limit     int
	held      int
	byAddress map[string]int
	idle      *list.List // *Conn without a request, longest idle first
}

// New returns a table for at most limit connections.
func New(limit int) *Table {
	return &Table{limit: limit, byAddress: map[string]int{}, idle: list.New()}
}

// Held returns the number of connections.
func (t *Table) Held() int { return t.held }

// Full reports whether a new connection needs another one to give way.
func (t *Table) Full() bool { return t.held >= t.limit }

// Add adds a connection, which is idle until its first request. If the table is full,
// the longest idle connection of the address that holds the most gives way. Without an
// idle connection, Add returns nil: the new connection is not held.
func (t *Table) Add(address string, owner any) (added, displaced *Conn) {
	if t.Full() {
		displaced = t.busiestIdle()
		if displaced == nil {
			return nil, nil
		}
		t.Remove(displaced)
	}
	c := &Conn{Owner: owner, address: address}
	t.held++
	t.byAddress[address]++
	t.Idle(c)
	return c, displaced
}

// Idle records that no request is under way on the connection.
func (t *Table) Idle(c *Conn) {
	if c.idle == nil && !c.removed {
		c.idle = t.idle.PushBack(c)
	}
}

// Active records that a request is under way on the connection.
func (t *Table) Active(c *Conn) {
	if c.idle != nil {
		t.idle.Remove(c.idle)
		c.idle = nil
	}
}

// Remove ends a connection. It may be removed again, without effect.
func (t *Table) Remove(c *Conn) {
	if c.removed {
		return
	}
	t.Active(c)
	c.removed = true
	t.held--
	if t.byAddress[c.address]--; t.byAddress[c.address] == 0 {
		delete(t.byAddress, c.address)
	}
}

func (t *Table) busiestIdle() *Conn {
	var found *Conn
	for e := t.idle.Front(); e != nil; e = e.Next() {
		c := e.Value.(*Conn)
		if found == nil || t.byAddress[c.address] > t.byAddress[found.address] {
			found = c
		}
	}
	return found
}
