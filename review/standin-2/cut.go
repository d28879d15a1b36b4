package main

import (
	"net"
	"sync"
)

// cut is a partition between a runner and its machine. While it is on, bytes are held
// up. They arrive once it is off, unless their sender has closed the channel.
type cut struct {
	mu   sync.Mutex
	open *sync.Cond
	on   bool
}

// putBehindCut puts proxies between the runner and its machine, in both directions.
func (r *runner) putBehindCut() error {
	r.cut = &cut{}
	r.cut.open = sync.NewCond(&r.cut.mu)
	m := r.machine
	if err := r.cut.proxy(m.addr(cutAppPort), m.addr(appPort)); err != nil {
		return err
	}
	return r.cut.proxy(m.addr(cutBeatPort), m.addr(controlPort))
}

func (c *cut) set(on bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.on = on
	c.open.Broadcast()
}

// wait returns once the partition is off, and whether it was on.
func (c *cut) wait() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	held := c.on
	for c.on {
		c.open.Wait()
	}
	return held
}

func (c *cut) proxy(from, to string) error {
	listener, err := net.Listen("tcp", from)
	if err != nil {
		return err
	}
	go func() {
		for {
			in, err := listener.Accept()
			if err != nil {
				return
			}
			go c.forward(in, to)
		}
	}()
	return nil
}

// forward copies both directions of a channel.
func (c *cut) forward(in net.Conn, to string) {
	defer in.Close()
	requests := read(in)
	first, ok := <-requests.chunks
	if !ok {
		return
	}
	if held := c.wait(); held && requests.hasEnded() {
		return
	}
	out, err := net.Dial("tcp", to)
	if err != nil {
		return
	}
	defer out.Close()
	if _, err := out.Write(first); err != nil {
		return
	}
	responses := read(out)
	done := make(chan struct{}, 2)
	go c.copy(out, requests, done)
	go c.copy(in, responses, done)
	<-done
}

func (c *cut) copy(to net.Conn, from *source, done chan struct{}) {
	defer func() { done <- struct{}{} }()
	for data := range from.chunks {
		if held := c.wait(); held && from.hasEnded() {
			return
		}
		if _, err := to.Write(data); err != nil {
			return
		}
	}
}

// source reads a connection ahead, so that its end is noticed while bytes are held up.
type source struct {
	chunks chan []byte
	ended  chan struct{}
}

func read(from net.Conn) *source {
	s := &source{chunks: make(chan []byte, 64), ended: make(chan struct{})}
	go func() {
		defer close(s.chunks)
		defer close(s.ended)
		for {
			buf := make([]byte, 64<<10)
			n, err := from.Read(buf)
			if n > 0 {
				s.chunks <- buf[:n]
			}
			if err != nil {
				return
			}
		}
	}()
	return s
}

func (s *source) hasEnded() bool {
	select {
	case <-s.ended:
		return true
	default:
		return false
	}
}
