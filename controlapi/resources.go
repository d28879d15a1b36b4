package controlapi

// Plus returns the sum of two vectors.
func (r Resources) Plus(o Resources) Resources {
	return Resources{
		CPUMilli:     r.CPUMilli + o.CPUMilli,
		MemoryMiB:    r.MemoryMiB + o.MemoryMiB,
		Accelerators: r.Accelerators + o.Accelerators,
	}
}

// Minus returns the difference of two vectors.
func (r Resources) Minus(o Resources) Resources {
	return Resources{
		CPUMilli:     r.CPUMilli - o.CPUMilli,
		MemoryMiB:    r.MemoryMiB - o.MemoryMiB,
		Accelerators: r.Accelerators - o.Accelerators,
	}
}

// Fits reports whether no component of r exceeds that of o.
func (r Resources) Fits(o Resources) bool {
	return r.CPUMilli <= o.CPUMilli && r.MemoryMiB <= o.MemoryMiB && r.Accelerators <= o.Accelerators
}
