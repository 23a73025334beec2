// Package escrow limits how many requests and jobs each workspace runs at once. Every data centre is assigned a slice of a
// workspace's limit. One entry process of the data centre, the holder, lends the slice as permits to the entry processes,
// the borrowers. Slices, and so permits, never add up to more than the limit over the whole fleet.
package escrow

import "sync"

// Permits acquires and releases the permits of workspaces.
type Permits interface {
	// TryAcquire takes a permit of workspace; it returns false if none is free.
	TryAcquire(workspace string) bool
	// TryAcquireWithoutDemand is TryAcquire for a request that is forwarded elsewhere if no permit is free. A refusal
	// does not count as demand here.
	TryAcquireWithoutDemand(workspace string) bool
	// Release gives back a permit.
	Release(workspace string)
	// Running returns the number of permits in use.
	Running(workspace string) int
}

// Static takes the number of permits of each workspace from a function and exchanges none with other processes. It is safe
// for concurrent use.
type Static struct {
	limit func(workspace string) int

	mu      sync.Mutex
	running map[string]int
}

// NewStatic returns permits whose number is read from limit at each acquisition.
func NewStatic(limit func(workspace string) int) *Static {
	return &Static{limit: limit, running: make(map[string]int)}
}

// TryAcquire implements Permits.
func (s *Static) TryAcquire(workspace string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.running[workspace] >= s.limit(workspace) {
		return false
	}
	s.running[workspace]++
	return true
}

// TryAcquireWithoutDemand implements Permits.
func (s *Static) TryAcquireWithoutDemand(workspace string) bool { return s.TryAcquire(workspace) }

// Release implements Permits.
func (s *Static) Release(workspace string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running[workspace]--
}

// Running implements Permits.
func (s *Static) Running(workspace string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.running[workspace]
}
