// Package escrow limits how many requests and jobs each team runs at once. Every data centre is assigned a slice of a
// team's limit. One entry process of the data centre, the holder, lends the slice as permits to the entry processes,
// the borrowers. Slices, and so permits, never add up to more than the limit over the whole fleet.
package escrow

import "sync"

// Permits acquires and releases the permits of teams.
type Permits interface {
	// TryAcquire takes a permit of team; it returns false if none is free.
	TryAcquire(team string) bool
	// TryAcquireWithoutDemand is TryAcquire for a request that is forwarded elsewhere if no permit is free. A refusal
	// does not count as demand here.
	TryAcquireWithoutDemand(team string) bool
	// Release gives back a permit.
	Release(team string)
	// Running returns the number of permits in use.
	Running(team string) int
}

// Static takes the number of permits of each team from a function and exchanges none with other processes. It is safe
// for concurrent use.
type Static struct {
	limit func(team string) int

	mu      sync.Mutex
	running map[string]int
}

// NewStatic returns permits whose number is read from limit at each acquisition.
func NewStatic(limit func(team string) int) *Static {
	return &Static{limit: limit, running: make(map[string]int)}
}

// TryAcquire implements Permits.
func (s *Static) TryAcquire(team string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.running[team] >= s.limit(team) {
		return false
	}
	s.running[team]++
	return true
}

// TryAcquireWithoutDemand implements Permits.
func (s *Static) TryAcquireWithoutDemand(team string) bool { return s.TryAcquire(team) }

// Release implements Permits.
func (s *Static) Release(team string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running[team]--
}

// Running implements Permits.
func (s *Static) Running(team string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.running[team]
}
