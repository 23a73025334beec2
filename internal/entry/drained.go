package entry

import (
	"sync"
	"time"

	"laburnumrouter/internal/version/view"
	laburnumv1 "laburnumrouter/proto/laburnum/v1"
)

// contestedRetention is how long a name counts as contested after another process was last heard under it.
const contestedRetention = 10 * time.Second

// drained returns the instances that take no new work and on which no request of this entry is outstanding.
func (e *Entry) drained(v *view.View) []string {
	var ids []string
	for id := range v.OutOfService() {
		if e.router.InFlight(id) == 0 {
			ids = append(ids, id)
		}
	}
	return ids
}

// poolDemand returns how many requests wait for a pool here and how many of this entry run on its members.
func (e *Entry) poolDemand(v *view.View, pool string) *laburnumv1.PoolDemand {
	d := &laburnumv1.PoolDemand{Pool: pool, Waiting: uint32(e.queue.Waiting(pool))}
	for _, a := range v.Assigned(pool) {
		d.Running += uint32(e.router.InFlight(a.Instance))
	}
	return d
}

// announcedProcess is the process that is known under an instance's name.
type announcedProcess struct {
	incarnation uint64
	address     string
	// contestedAt is when another process was last heard under the name.
	contestedAt time.Time
}

// contestedSet detects two processes that announce themselves under the same name. A restart under a later
// incarnation does not make a name contested, unless the earlier process is heard again.
type contestedSet struct {
	mu    sync.Mutex
	known map[string]*announcedProcess
}

func newContestedSet() *contestedSet { return &contestedSet{known: make(map[string]*announcedProcess)} }

// observe records an announcement, and reports whether the name is contested.
func (c *contestedSet) observe(v *laburnumv1.InstanceView, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	known := c.known[v.Instance]
	if known == nil {
		c.known[v.Instance] = &announcedProcess{incarnation: v.Incarnation, address: v.Address}
		return false
	}
	if v.Incarnation < known.incarnation || (v.Incarnation == known.incarnation && v.Address != known.address) {
		known.contestedAt = now
	} else {
		known.incarnation, known.address = v.Incarnation, v.Address
	}
	return now.Sub(known.contestedAt) < contestedRetention
}
