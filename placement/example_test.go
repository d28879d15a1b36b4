package placement_test

import (
	"fmt"
	"time"

	"github.com/ibispier/ibispier/placement"
	"github.com/ibispier/ibispier/resource"
)

func ExampleScheduler() {
	now := time.Unix(1_700_000_000, 0)
	size := resource.Vector{CPUMilli: 4_000, MemoryMiB: 8_000}
	s := placement.New(placement.Options{})
	s.SetWorker(placement.Worker{ID: "w1", Zone: "a", Rack: "1", Capacity: size}, now)
	s.SetWorker(placement.Worker{ID: "w2", Zone: "b", Rack: "1", Capacity: size}, now)
	s.SetZone("b", true, now)
	s.SetQuota("desk", placement.Quota{Limit: resource.Vector{CPUMilli: 64_000, MemoryMiB: 64_000}, Tasks: 10})
	s.Submit(placement.Task{ID: "t1", Customer: "desk", Class: "scan", Size: size}, now)
	s.Submit(placement.Task{ID: "t2", Customer: "desk", Class: "scan", Size: size}, now)
	s.Submit(placement.Task{ID: "t3", Customer: "desk", Class: "scan", Size: size.Add(size)}, now)
	d := s.Step(now)
	fmt.Println(d.Placements)
	fmt.Println("t2:", s.PendingReason("t2"))
	fmt.Println("t3:", s.PendingReason("t3"))
	// Output:
	// [{t1 w1}]
	// t2: no worker: 1 insufficient free capacity, 1 zone out of service
	// t3: never runs: larger than any worker in an allowed zone; largest cpu=4000m memory=8000MiB accelerators=0
}
