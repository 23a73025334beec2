package viewsync

import (
	"math/bits"
	"sync"
	"time"

	laburnumv1 "laburnumrouter/proto/laburnum/v1"
)

// Sink receives the views that a mirror gets, each with the earliest time at which the instance may have been
// heard, on the receiver's clock.
type Sink interface {
	// Observe records a view that is new or changed. It returns false if it ignores the view because the known one is
	// as new or newer.
	Observe(view *laburnumv1.InstanceView, heard time.Time) bool
	// Refresh records that an instance was heard again with an unchanged view, under the given incarnation.
	Refresh(instance string, incarnation uint64, heard time.Time)
}

// Mirror is a receiver's copy of one sender's Log. It is safe for concurrent use.
type Mirror struct {
	mu     sync.Mutex
	cursor *laburnumv1.ViewCursor
	views  map[uint32]*laburnumv1.InstanceView
}

// NewMirror returns an empty mirror.
func NewMirror() *Mirror { return &Mirror{views: make(map[uint32]*laburnumv1.InstanceView)} }

// Cursor returns the cursor to send with the next request. It is never nil.
func (m *Mirror) Cursor() *laburnumv1.ViewCursor {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.cursor == nil {
		return &laburnumv1.ViewCursor{}
	}
	return m.cursor
}

// Apply applies a delta that was requested at requestedAt on the receiver's clock. The age of a view is counted from
// the time of the request, not of the response, so that a delayed response never makes a view look more recent than
// it is. Apply returns false if the delta does not continue the mirror's state; the next request then asks for a
// full delta.
func (m *Mirror) Apply(d *laburnumv1.InstanceDelta, requestedAt time.Time, sink Sink) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !d.Full && d.Cursor.GetGeneration() != m.cursor.GetGeneration() {
		m.cursor = nil
		return false
	}
	heard := requestedAt.Add(-time.Duration(d.AgeMs) * time.Millisecond)
	if d.Full {
		clear(m.views)
	}
	for _, n := range d.Gone {
		delete(m.views, n)
	}
	for _, v := range d.Views {
		m.views[v.Number] = v.View
		sink.Observe(v.View, heard)
	}
	complete := m.refreshInstances(d.Heard, heard, sink)
	if !complete {
		m.cursor = nil
		return false
	}
	m.cursor = d.Cursor
	return true
}

// refreshInstances reports to sink that the instances whose numbers are set in bitmap were heard again. It returns
// false if a number is unknown.
func (m *Mirror) refreshInstances(bitmap []byte, heard time.Time, sink Sink) bool {
	complete := true
	for i, b := range bitmap {
		for b != 0 {
			n := uint32(i*8 + bits.TrailingZeros8(b))
			b &= b - 1
			v := m.views[n]
			if v == nil {
				complete = false
				continue
			}
			sink.Refresh(v.Instance, v.Incarnation, heard)
		}
	}
	return complete
}
