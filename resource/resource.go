// Package resource defines the vector of resources that workers have and tasks
// declare.
package resource

import "fmt"

// Vector is an amount of every kind of resource.
type Vector struct {
	CPUMilli     int64 // thousandths of a processor
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

// Max returns the larger of both amounts for each kind.
func (v Vector) Max(other Vector) Vector {
	return Vector{max(v.CPUMilli, other.CPUMilli), max(v.MemoryMiB, other.MemoryMiB), max(v.Accelerators, other.Accelerators)}
}

// FitsIn reports whether no kind of v exceeds limit.
func (v Vector) FitsIn(limit Vector) bool {
	return v.CPUMilli <= limit.CPUMilli && v.MemoryMiB <= limit.MemoryMiB && v.Accelerators <= limit.Accelerators
}

// IsValid reports whether no kind is negative.
func (v Vector) IsValid() bool {
	return v.CPUMilli >= 0 && v.MemoryMiB >= 0 && v.Accelerators >= 0
}

// DominantShare returns the largest share that v takes of any kind in total.
// Kinds that total does not have are ignored.
func (v Vector) DominantShare(total Vector) float64 {
	return max(share(v.CPUMilli, total.CPUMilli), share(v.MemoryMiB, total.MemoryMiB), share(v.Accelerators, total.Accelerators))
}

func share(part, whole int64) float64 {
	if whole <= 0 {
		return 0
	}
	return float64(part) / float64(whole)
}

// String formats v for reasons that operators read.
func (v Vector) String() string {
	return fmt.Sprintf("cpu=%dm memory=%dMiB accelerators=%d", v.CPUMilli, v.MemoryMiB, v.Accelerators)
}
