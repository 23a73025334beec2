package directory

import "time"

// Refresh updates the time at which an unchanged view was last heard. It has no effect if another incarnation is known
// or the time is not later than the recorded one.
func (d *Directory) Refresh(id string, incarnation uint64, heard time.Time) {
	s := d.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	known, ok := s.instances[id]
	if !ok || known.View.Incarnation != incarnation || !heard.After(known.Heard) {
		return
	}
	known.Heard = heard
	s.instances[id] = known
}
