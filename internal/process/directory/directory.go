// Package directory holds the latest views of the instances that the entries of a data centre have heard from.
package directory

import (
	"hash/maphash"
	"sync"
	"time"

	laburnumv1 "laburnumrouter/proto/laburnum/v1"
)

const shardCount = 16

// ViewLifetime is how long requests may be routed to an instance after it was last heard from.
const ViewLifetime = 3 * time.Second

// Instance is the view of an instance with the time, on this process's clock, at which the instance itself was last
// heard from.
type Instance struct {
	View  *laburnumv1.InstanceView
	Heard time.Time
}

// Fresh reports whether the view is recent enough to route requests to the instance.
func (i Instance) Fresh(now time.Time) bool { return now.Sub(i.Heard) < ViewLifetime }

type shard struct {
	mu        sync.RWMutex
	instances map[string]Instance
}

// Directory maps instances to their latest views. It is safe for concurrent use.
type Directory struct {
	seed   maphash.Seed
	shards [shardCount]shard
}

// New returns an empty directory.
func New() *Directory {
	d := &Directory{seed: maphash.MakeSeed()}
	for i := range d.shards {
		d.shards[i].instances = make(map[string]Instance)
	}
	return d
}

func (d *Directory) shard(id string) *shard {
	return &d.shards[maphash.String(d.seed, id)%shardCount]
}

// Observe records a view that was heard at the given time. It ignores the view and returns false if the view is not newer
// than the known one: an earlier incarnation, or the same or an earlier announcement of the same incarnation.
func (d *Directory) Observe(view *laburnumv1.InstanceView, heard time.Time) bool {
	s := d.shard(view.Instance)
	s.mu.Lock()
	defer s.mu.Unlock()
	known, ok := s.instances[view.Instance]
	if ok && notNewer(view, known.View) {
		return false
	}
	s.instances[view.Instance] = Instance{View: view, Heard: heard}
	return true
}

func notNewer(a, b *laburnumv1.InstanceView) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation < b.Incarnation
	}
	return a.Sequence <= b.Sequence
}

// Get returns the view of an instance.
func (d *Directory) Get(id string) (Instance, bool) {
	s := d.shard(id)
	s.mu.RLock()
	defer s.mu.RUnlock()
	i, ok := s.instances[id]
	return i, ok
}

// All returns every view, in no particular order.
func (d *Directory) All() []Instance {
	var all []Instance
	for i := range d.shards {
		s := &d.shards[i]
		s.mu.RLock()
		for _, instance := range s.instances {
			all = append(all, instance)
		}
		s.mu.RUnlock()
	}
	return all
}

// Expire removes views that were last heard before the given time.
func (d *Directory) Expire(before time.Time) {
	for i := range d.shards {
		s := &d.shards[i]
		s.mu.Lock()
		for id, instance := range s.instances {
			if instance.Heard.Before(before) {
				delete(s.instances, id)
			}
		}
		s.mu.Unlock()
	}
}
