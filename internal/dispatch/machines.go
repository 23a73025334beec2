package dispatch

import (
	"context"
	"sync"
	"time"

	"laburnumrouter/internal/process/boottime"
	"laburnumrouter/internal/request/ledger"
)

const (
	// machineTimeout bounds a call to the platform, which may be slow.
	machineTimeout = 2 * time.Second
	// machineLeaseMargin is added to another leader's lease on a machine, for clock differences and orders in transit.
	machineLeaseMargin = 500 * time.Millisecond
)

// mayOrderMachineLocked reports whether this leader may send orders for a machine: no other leader has sent one within the
// machine lease.
func (s *session) mayOrderMachineLocked(machine string) bool {
	by := s.engine.ledger.OrderTerm(machine)
	return by == 0 || by == s.holder.Fence || s.engine.timeSinceOrderLocked(machine) >= s.machineLease+machineLeaseMargin
}

// machineCache is the platform's list of machines as last read. It is safe for concurrent use.
type machineCache struct {
	mu          sync.Mutex
	requestedAt time.Duration
	list        []Machine
	byName      map[string]Machine
	// last holds what each machine was last listed with, also of machines that the newest list lacks; listed are the IDs of the
	// servers in the newest list.
	last   map[string]lastListing
	listed map[string]bool
}

// lastListing is the newest list's entry of a machine.
type lastListing struct {
	server      string
	requestedAt time.Duration
}

// lastRequested returns when the list was requested.
func (v *machineCache) lastRequested() time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.requestedAt
}

// machines returns the list and when it was requested.
func (v *machineCache) machines() ([]Machine, time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.list, v.requestedAt
}

// replace stores a list unless one that was requested later is stored already.
func (v *machineCache) replace(list []Machine, byName map[string]Machine, requestedAt time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if requestedAt <= v.requestedAt {
		return
	}
	v.list, v.byName, v.requestedAt = list, byName, requestedAt
	if v.last == nil {
		v.last = make(map[string]lastListing)
	}
	v.listed = make(map[string]bool, len(list))
	for _, m := range list {
		v.last[m.Name] = lastListing{m.Server, requestedAt}
		v.listed[m.Server] = true
	}
}

// lastServer returns the server that a machine was last listed with; empty if there was none.
func (v *machineCache) lastServer(machine string) string {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.last[machine].server
}

// lastListed returns when the newest list that has a machine was requested; 0 if none has.
func (v *machineCache) lastListed(machine string) time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.last[machine].requestedAt
}

// lists reports whether the newest list shows a server.
func (v *machineCache) lists(server string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.listed[server]
}

// snapshot returns the machines by name and when the list was requested.
func (v *machineCache) snapshot() (map[string]Machine, time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.byName, v.requestedAt
}

// refreshMachines reads all pages of the platform's list of machines into the cache.
func (s *session) refreshMachines(cache *machineCache) bool {
	asked := boottime.Now()
	s.engine.mu.Lock()
	s.nextRefreshAt = 0 // reset before the read, so that a change made during it schedules another one
	s.engine.mu.Unlock()
	list, err := s.readMachines()
	if err != nil {
		s.log.Warn("platform's list of machines can't be read", "error", err)
		s.engine.mu.Lock()
		s.scheduleRefreshLocked(minRefreshInterval)
		s.engine.mu.Unlock()
		return false
	}
	byName := make(map[string]Machine, len(list))
	pending := false
	for _, m := range list {
		byName[m.Name] = m
		pending = pending || m.State == MachineMoving || m.State == MachineUpkeep
	}
	if pending {
		s.engine.mu.Lock()
		s.scheduleRefreshLocked(minRefreshInterval)
		s.engine.mu.Unlock()
	}
	if cache.lastRequested() == 0 {
		s.log.Info("platform's list of machines read for the first time", "machines", len(list), "took", boottime.Now()-asked)
	}
	s.engine.mu.Lock()
	cache.replace(list, byName, asked)
	s.reserveUnansweredLocked(list)
	s.engine.mu.Unlock()
	s.recordPoolSizes(list)
	return true
}

// readMachines reads all pages of the platform's list. A machine may change its page during the read; it is returned once, as it was
// listed last. Pages that lead back to an earlier one have no end, which is an error.
func (s *session) readMachines() ([]Machine, error) {
	var list []Machine
	position, pages := make(map[string]int), make(map[string]bool)
	for page := ""; ; {
		ctx, cancel := context.WithTimeout(s.ctx, machineTimeout)
		rows, next, err := s.machines.List(ctx, page)
		cancel()
		s.stats.machineCalls.Inc(1)
		if err != nil {
			return nil, err
		}
		for _, m := range rows {
			if n, listed := position[m.Name]; listed {
				list[n] = m
				continue
			}
			position[m.Name] = len(list)
			list = append(list, m)
		}
		if next == "" {
			return list, nil
		}
		if pages[next] {
			return nil, Error.New("page %q of the list of machines leads back to itself", next)
		}
		pages[next], page = true, next
	}
}

// recordPoolSizes commits how many machines each pool has initially, before any is moved.
func (s *session) recordPoolSizes(list []Machine) {
	sizes := make(map[string]int)
	s.engine.mu.Lock()
	for _, m := range list {
		if m.Pool != "" && s.engine.ledger.InitialSize(m.Pool) == 0 {
			sizes[m.Pool]++
		}
	}
	s.engine.mu.Unlock()
	if len(sizes) == 0 {
		return
	}
	if _, err := s.propose(&ledger.Command{Sizes: sizes}); err != nil {
		s.log.Warn("initial pool sizes not committed", "error", err)
	}
}
