package crowd

import (
	"bufio"
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// memory follows what a process holds: its resident pages, and the bytes that the
// kernel holds for the connections to its listeners. Received bytes that the process
// has not read count towards the limit of the machine, also those of connections that
// it has not accepted yet.
type memory struct {
	pid        int
	ports      map[string]bool // of the listeners, in hexadecimal as in /proc/net/tcp
	peak       atomic.Int64    // resident and kernel together, in bytes
	peakKernel atomic.Int64
}

// sampleInterval is short against the time that a crowd takes to fill a buffer.
const sampleInterval = 10 * time.Millisecond

// watchMemory samples the memory of a process until the test ends.
func watchMemory(t *testing.T, pid int, addresses []string) *memory {
	m := &memory{pid: pid, ports: map[string]bool{}}
	for _, address := range addresses {
		port, err := strconv.Atoi(address[strings.LastIndexByte(address, ':')+1:])
		if err != nil {
			t.Fatal(err)
		}
		m.ports[fmt.Sprintf("%04X", port)] = true
	}
	stop, done := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(done)
		ticker := time.NewTicker(sampleInterval)
		defer ticker.Stop()
		for {
			m.sample()
			select {
			case <-stop:
				return
			case <-ticker.C:
			}
		}
	}()
	t.Cleanup(func() { close(stop); <-done })
	return m
}

func (m *memory) sample() {
	kernel := m.kernelBytes()
	m.peakKernel.Store(max(m.peakKernel.Load(), kernel))
	m.peak.Store(max(m.peak.Load(), kernel+m.residentBytes()))
}

func (m *memory) residentBytes() int64 {
	content, _ := os.ReadFile(fmt.Sprintf("/proc/%d/statm", m.pid))
	fields := strings.Fields(string(content))
	if len(fields) < 2 {
		return 0 // the process has ended
	}
	pages, _ := strconv.ParseInt(fields[1], 10, 64)
	return pages * int64(os.Getpagesize())
}

// kernelBytes returns the bytes in the queues of all connections to the listeners: those
// that are not read yet, and those of responses that are not acknowledged.
func (m *memory) kernelBytes() int64 {
	file, err := os.Open("/proc/net/tcp")
	if err != nil {
		return 0
	}
	defer file.Close()
	const listening = "0A" // the queue of a listener is a number of connections
	var bytes int64
	for scanner := bufio.NewScanner(file); scanner.Scan(); {
		fields := strings.Fields(scanner.Text()) // number, local, remote, state, send:receive, ...
		if len(fields) < 5 || fields[3] == listening {
			continue
		}
		_, port, _ := strings.Cut(fields[1], ":")
		if !m.ports[port] {
			continue
		}
		send, receive, _ := strings.Cut(fields[4], ":")
		for _, queue := range []string{send, receive} {
			n, _ := strconv.ParseInt(queue, 16, 64)
			bytes += n
		}
	}
	return bytes
}
