package placement

import (
	laburnumv1 "laburnumrouter/proto/laburnum/v1"
)

// Size is an amount of resources.
type Size struct {
	MilliCPU     int64 // thousandths of a processor
	Memory       int64 // bytes
	Accelerators int64
}

// defaultSize holds the processors and the memory that are assumed for a job that doesn't declare them.
var defaultSize = Size{MilliCPU: 1000, Memory: 1 << 30}

// SizeOf converts a protobuf message to a Size.
func SizeOf(r *laburnumv1.Resources) Size {
	return Size{int64(r.GetMilliCpu()), int64(r.GetMemoryBytes()), int64(r.GetAccelerators())}
}

// Resources converts a Size to a protobuf message; negative amounts become 0.
func (s Size) Resources() *laburnumv1.Resources {
	return &laburnumv1.Resources{
		MilliCpu:     uint32(max(0, s.MilliCPU)),
		MemoryBytes:  uint64(max(0, s.Memory)),
		Accelerators: uint32(max(0, s.Accelerators)),
	}
}

func (s Size) plus(o Size) Size {
	return Size{s.MilliCPU + o.MilliCPU, s.Memory + o.Memory, s.Accelerators + o.Accelerators}
}

func (s Size) minus(o Size) Size {
	return Size{s.MilliCPU - o.MilliCPU, s.Memory - o.Memory, s.Accelerators - o.Accelerators}
}

// fitsIn reports whether s is at most o in every resource.
func (s Size) fitsIn(o Size) bool {
	return s.MilliCPU <= o.MilliCPU && s.Memory <= o.Memory && s.Accelerators <= o.Accelerators
}

// capped returns s with processors and memory limited to those of o.
func (s Size) capped(o Size) Size {
	return Size{min(s.MilliCPU, o.MilliCPU), min(s.Memory, o.Memory), s.Accelerators}
}

// componentMax returns the larger of s and o for each resource.
func (s Size) componentMax(o Size) Size {
	return Size{max(s.MilliCPU, o.MilliCPU), max(s.Memory, o.Memory), max(s.Accelerators, o.Accelerators)}
}

// declaredOf returns the resources that a job declares, with the processors and memory of defaultSize where it declares none.
func declaredOf(job *laburnumv1.Job) Size {
	s := SizeOf(job.Declared)
	if s.MilliCPU == 0 {
		s.MilliCPU = defaultSize.MilliCPU
	}
	if s.Memory == 0 {
		s.Memory = defaultSize.Memory
	}
	return s
}

// reservedOf returns the resources that are reserved for a job on its worker: the estimate at its start, else its
// declaration.
func reservedOf(job *laburnumv1.Job) Size {
	if job.Learned != nil {
		return SizeOf(job.Learned)
	}
	return declaredOf(job)
}
