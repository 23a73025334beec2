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
	// leaseSlack is added to the lease of a machine's holder, for clocks that differ and orders on their way.
	leaseSlack = 500 * time.Millisecond
)

// mayTakeLocked reports whether this leader may order a machine: no other has ordered it within the holder's lease.
func (s *session) mayTakeLocked(machine string) bool {
	by := s.engine.ledger.OrderedBy(machine)
	return by == 0 || by == s.holder.Fence || s.engine.quietLocked(machine) >= s.machineLease+leaseSlack
}

// fleetView is what the platform last said of the machines. It is safe for concurrent use.
type fleetView struct {
	mu     sync.Mutex
	readAt time.Duration
	list   []Machine
	byName map[string]Machine
}

// asOf returns when the list was asked for.
func (v *fleetView) asOf() time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.readAt
}

func (v *fleetView) machines() []Machine {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.list
}

func (v *fleetView) get(name string) Machine {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.byName[name]
}

// look returns the machines by name and when the list was read.
func (v *fleetView) look() (map[string]Machine, time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.byName, v.readAt
}

// readMachines reads the platform's whole list.
func (s *session) readMachines(view *fleetView) bool {
	asked := boottime.Now()
	s.engine.mu.Lock()
	s.rereadAt = 0 // a change that comes while the list is read may be missing from it
	s.engine.mu.Unlock()
	var list []Machine
	for page := ""; ; {
		ctx, cancel := context.WithTimeout(s.ctx, machineTimeout)
		rows, next, err := s.machines.List(ctx, page)
		cancel()
		s.stats.machineCalls.Inc(1)
		if err != nil {
			s.log.Warn("platform's list of machines can't be read", "error", err)
			s.engine.mu.Lock()
			s.rereadLocked(viewGap)
			s.engine.mu.Unlock()
			return false
		}
		list = append(list, rows...)
		if next == "" {
			break
		}
		page = next
	}
	byName := make(map[string]Machine, len(list))
	pending := false
	for _, m := range list {
		byName[m.Name] = m
		pending = pending || m.State == MachineMoving || m.State == MachineUpkeep
	}
	if pending {
		s.engine.mu.Lock()
		s.rereadLocked(viewGap)
		s.engine.mu.Unlock()
	}
	if view.asOf() == 0 {
		s.log.Info("platform's list of machines read for the first time", "machines", len(list), "took", boottime.Now()-asked)
	}
	view.mu.Lock()
	view.list, view.byName, view.readAt = list, byName, asked
	view.mu.Unlock()
	s.noteSizes(list)
	return true
}

// noteSizes records how many machines each pool has before any is moved.
func (s *session) noteSizes(list []Machine) {
	sizes := make(map[string]int)
	s.engine.mu.Lock()
	for _, m := range list {
		if m.Pool != "" && s.engine.ledger.Size(m.Pool) == 0 {
			sizes[m.Pool]++
		}
	}
	s.engine.mu.Unlock()
	if len(sizes) == 0 {
		return
	}
	if _, err := s.propose(&ledger.Command{Sizes: sizes}); err != nil {
		s.log.Warn("sizes of pools not noted", "error", err)
	}
}
