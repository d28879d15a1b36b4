// Package resource defines the resource vector that describes the capacity of
// workers and the declared size of tasks.
package resource

import "fmt"

// Vector holds an amount of each kind of resource.
type Vector struct {
	CPUMilli     int64 // thousandths of a CPU core
	MemoryMiB    int64
	Accelerators int64 // devices
}

// Add returns v + other.
func (v Vector) Add(other Vector) Vector {
	return Vector{v.CPUMilli + other.CPUMilli, v.MemoryMiB + other.MemoryMiB, v.Accelerators + other.Accelerators}
}

// Sub returns v - other.
func (v Vector) Sub(other Vector) Vector {
	return Vector{v.CPUMilli - other.CPUMilli, v.MemoryMiB - other.MemoryMiB, v.Accelerators - other.Accelerators}
}

// Times returns v multiplied by n.
func (v Vector) Times(n int64) Vector {
	return Vector{v.CPUMilli * n, v.MemoryMiB * n, v.Accelerators * n}
}

// Max returns the element-wise maximum of v and other.
func (v Vector) Max(other Vector) Vector {
	return Vector{max(v.CPUMilli, other.CPUMilli), max(v.MemoryMiB, other.MemoryMiB), max(v.Accelerators, other.Accelerators)}
}

// FitsIn reports whether v is at most limit for every kind of resource.
func (v Vector) FitsIn(limit Vector) bool {
	return v.CPUMilli <= limit.CPUMilli && v.MemoryMiB <= limit.MemoryMiB && v.Accelerators <= limit.Accelerators
}

// IsValid reports whether no amount is negative.
func (v Vector) IsValid() bool {
	return v.CPUMilli >= 0 && v.MemoryMiB >= 0 && v.Accelerators >= 0
}

// DominantShare returns the largest fraction of total that v takes of any one
// kind of resource, as defined by dominant resource fairness. Kinds of which
// total has none are ignored.
func (v Vector) DominantShare(total Vector) float64 {
	return max(share(v.CPUMilli, total.CPUMilli), share(v.MemoryMiB, total.MemoryMiB), share(v.Accelerators, total.Accelerators))
}

func share(part, whole int64) float64 {
	if whole <= 0 {
		return 0
	}
	return float64(part) / float64(whole)
}

// String formats v for the reasons that are shown to operators.
func (v Vector) String() string {
	return fmt.Sprintf("cpu=%dm memory=%dMiB accelerators=%d", v.CPUMilli, v.MemoryMiB, v.Accelerators)
}
