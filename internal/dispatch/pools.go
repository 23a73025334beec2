package dispatch

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"laburnumrouter/internal/process/boottime"
	"laburnumrouter/internal/request/incarnation"
	"laburnumrouter/internal/request/ledger"
	"laburnumrouter/internal/request/pools"
	"laburnumrouter/internal/request/schedule"
)

const (
	// poolCheckInterval is the time between checks of the pools.
	poolCheckInterval = 150 * time.Millisecond
	// moveTransitTime is how long a moved machine counts for its new pool before the platform's list shows it there:
	// migrate_s (1.5 s) plus the time until its server has announced itself.
	moveTransitTime = 2500 * time.Millisecond
	// refreshDelay is the delay from a move or an upkeep until the platform's list is read again: migrate_s (1.5 s) plus
	// a margin.
	refreshDelay = 1700 * time.Millisecond
	// minRefreshInterval is the minimum time between reads of the list, also while a machine is slow to come back: each
	// read has a cost.
	minRefreshInterval = 600 * time.Millisecond
	// maxCacheAge is the maximum age of the list without a known change.
	maxCacheAge = 10 * time.Second
	// lateOrderBound is how long an unanswered order for a machine, or a stop, may still be carried out.
	lateOrderBound = incarnation.LateCallBound
	// silentServerTimeout is how long a server without runs must be silent before it is removed. An announcement may be
	// in transit for 12 s: with a shorter timeout, a late one would make a server that left look new.
	silentServerTimeout = 30 * time.Second
	// moveRefusalBackoff is how long a machine isn't moved after the platform refused to move it: about the duration of a
	// move.
	moveRefusalBackoff = 1500 * time.Millisecond
	// poolLogInterval is the time between log lines about the sizes of the pools.
	poolLogInterval = time.Second
	// maxParallelCalls bounds concurrent calls to the platform, which accepts duty_per_s (64) calls a second.
	maxParallelCalls = 12
)

// poolLoop moves machines between pools and removes servers that are gone.
func (s *session) poolLoop() {
	ticker := time.NewTicker(poolCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-s.ctx.Done():
			return
		case <-ticker.C:
		}
		if !s.mayOrder() {
			continue
		}
		s.forgetServers()
		if s.machines != nil {
			s.rebalancePools()
		}
	}
}

// forgetServers removes servers that have been silent for long and have no runs, so that the replicated state does not
// grow beyond the fleet.
func (s *session) forgetServers() {
	s.engine.mu.Lock()
	now := boottime.Now()
	var gone []ledger.Incarnation
	for id, server := range s.fleet.All() {
		if now-max(server.AnnouncedAt, server.AnsweredAt) > silentServerTimeout && len(s.engine.ledger.LiveOn(id)) == 0 && s.planned[id] == 0 {
			gone = append(gone, ledger.Incarnation{ID: id, Born: server.Born})
		}
	}
	s.engine.mu.Unlock()
	if len(gone) == 0 {
		return
	}
	if _, err := s.propose(&ledger.Command{Gone: gone}); err != nil {
		s.log.Warn("silent servers not dropped yet", "servers", len(gone), "error", err)
		return
	}
	s.engine.mu.Lock()
	defer s.engine.mu.Unlock()
	for _, g := range gone {
		if server := s.fleet.Get(g.ID); server != nil && server.Born == g.Born && now-server.AnnouncedAt > silentServerTimeout {
			s.fleet.Remove(g.ID)
			delete(s.reserved, g.ID)
			delete(s.pacers, g.ID)
		}
	}
	s.log.Info("silent servers dropped", "servers", len(gone))
}

// rebalancePools plans machine moves and carries them out.
func (s *session) rebalancePools() {
	if s.machinesStale() && !s.refreshMachines(s.cachedMachines) {
		return
	}
	moves := s.planMoves()
	if len(moves) == 0 || !s.commitMoves(moves) {
		return
	}
	var mu sync.Mutex
	var unmoved []ledger.MachineMove
	inParallel(moves, func(m pools.Move) {
		if s.moveMachine(m) {
			return
		}
		mu.Lock()
		defer mu.Unlock()
		unmoved = append(unmoved, ledger.MachineMove{Machine: m.Machine, Pool: m.To})
	})
	s.commitUnmoved(unmoved)
}

// commitUnmoved commits which planned moves can't be carried out, so that the next leader doesn't wait for their results.
func (s *session) commitUnmoved(moves []ledger.MachineMove) {
	if len(moves) == 0 {
		return
	}
	if _, err := s.propose(&ledger.Command{Unmoved: moves}); err != nil {
		s.log.Warn("refused moves not committed", "moves", len(moves), "error", err)
	}
}

// commitMoves commits planned moves before they are ordered, so that the next leader knows of them.
func (s *session) commitMoves(moves []pools.Move) bool {
	c := &ledger.Command{By: s.holder.Fence}
	s.engine.mu.Lock()
	for _, m := range moves {
		c.Moves = append(c.Moves, ledger.MachineMove{Machine: m.Machine, Pool: m.To, Server: s.movesInFlight[m.Machine]})
	}
	s.engine.mu.Unlock()
	_, err := s.propose(c)
	if err == nil {
		return true
	}
	s.log.Warn("moves not committed", "moves", len(moves), "error", err)
	s.engine.mu.Lock()
	defer s.engine.mu.Unlock()
	for _, m := range moves {
		s.abandonMoveLocked(m.Machine, s.movesInFlight[m.Machine])
	}
	return false
}

// machinesStale reports whether the platform's list must be read again.
func (s *session) machinesStale() bool {
	s.engine.mu.Lock()
	defer s.engine.mu.Unlock()
	now, lastRequested := boottime.Now(), s.cachedMachines.lastRequested()
	switch {
	case lastRequested == 0 || now-lastRequested > maxCacheAge:
		return true
	case s.nextRefreshAt == 0 || now-lastRequested < minRefreshInterval:
		return false
	}
	return now >= s.nextRefreshAt
}

// scheduleRefreshLocked schedules a read of the platform's list after a delay, unless an earlier one is scheduled.
func (s *session) scheduleRefreshLocked(after time.Duration) {
	if at := boottime.Now() + after; s.nextRefreshAt == 0 || at < s.nextRefreshAt {
		s.nextRefreshAt = at
	}
}

// planMoves plans moves and reserves the machines that are to move.
func (s *session) planMoves() []pools.Move {
	now := boottime.Now()
	machines, listedAt := s.cachedMachines.machines()
	s.engine.mu.Lock()
	defer s.engine.mu.Unlock()
	index := s.engine.ledger.Index()
	if index == nil || len(machines) == 0 {
		return nil
	}
	var list []pools.Machine
	for _, m := range machines {
		s.settleMoveLocked(m, listedAt, now)
		if s.machineEvacuatedLocked(m) {
			continue // counts for no pool and isn't moved
		}
		if at, ok := s.movedAt[m.Name]; ok && m.Pool != s.movedTo[m.Name] && now-at < moveTransitTime {
			m.Pool, m.State = s.movedTo[m.Name], MachineMoving
		}
		if _, inUpkeep := s.upkeepServer[m.Name]; inUpkeep {
			m.Pool = "" // unavailable to its pool until its upkeep is over
		}
		s.recordMachineSizeLocked(m.Server)
		list = append(list, pools.Machine{Name: m.Name, Pool: m.Pool, Movable: s.movableLocked(m, now), State: s.serverStateLocked(m, now), Labels: s.machineLabelsLocked(m)})
	}
	s.startForecastLocked(index.Config().Pools)
	demand := s.demandLocked(index.Config().Pools)
	s.logUnservedLabelsLocked(demand, machines)
	moves := s.pools.Plan(now, demand, list, s.machineCPU)
	s.logPoolSizesLocked(now, demand, list)
	for _, m := range moves {
		server := s.cachedMachines.lastServer(m.Machine)
		if s.movesInFlight[m.Machine] = server; server != "" {
			s.reserved[server] = true
		}
	}
	return moves
}

// logPoolSizesLocked logs the sizes of the pools and what they rest on, at most once every poolLogInterval.
func (s *session) logPoolSizesLocked(now time.Duration, demand []pools.Pool, machines []pools.Machine) {
	if now-s.poolsLoggedAt < poolLogInterval {
		return
	}
	s.poolsLoggedAt = now
	size, idle := make(map[string]int), make(map[string]int)
	for _, m := range machines {
		size[m.Pool]++
		if m.Movable {
			idle[m.Pool]++
		}
	}
	for _, d := range demand {
		s.log.Info("pool sized", "pool", d.Name, "machines", size[d.Name], "empty", idle[d.Name], "need_cpu", d.NeedCPU, "expected_cpu", d.ExpectedCPU,
			"preferred", d.PreferredMachines, "least", d.MinMachines)
	}
}

// settleMoveLocked ends the move of a machine once its entry in the list, which was requested at listedAt, shows the result:
// the machine is up in its new pool, or it is up and the order can't be carried out any more. Until then, its server gets no
// work if the order got no answer.
func (s *session) settleMoveLocked(m Machine, listedAt, now time.Duration) {
	at, moving := s.movedAt[m.Name]
	if !moving {
		return
	}
	possibleUntil, carriedOut := at+lateOrderBound, m.Pool == s.movedTo[m.Name]
	switch {
	case m.State == MachineUp && (carriedOut && listedAt > at || listedAt > possibleUntil):
		if s.moveUnanswered[m.Name] {
			s.log.Info("result of unanswered move is known", "machine", m.Name, "server", m.Server, "pool", m.Pool, "moved", carriedOut)
		}
		s.endMoveLocked(m)
	case s.moveUnanswered[m.Name] && !carriedOut:
		if m.Server != "" {
			s.reserved[m.Server] = true
		}
		if now > possibleUntil && listedAt <= possibleUntil {
			s.scheduleRefreshLocked(0)
		}
	}
}

// endMoveLocked forgets the move of a machine and lets its present server take work, unless that is reserved for upkeep.
func (s *session) endMoveLocked(m Machine) {
	delete(s.movedAt, m.Name)
	delete(s.movedTo, m.Name)
	delete(s.moveUnanswered, m.Name)
	s.abandonMoveLocked(m.Name, m.Server)
}

// abandonMoveLocked lets the server of a machine that doesn't move take work, unless the machine is reserved for upkeep.
func (s *session) abandonMoveLocked(machine, server string) {
	delete(s.movesInFlight, machine)
	if _, upkeep := s.upkeepServer[machine]; !upkeep {
		delete(s.reserved, server)
	}
}

// serverStateLocked returns whether the server of a machine can carry work.
func (s *session) serverStateLocked(m Machine, now time.Duration) pools.ServerState {
	server := s.fleet.Get(m.Server)
	switch {
	case m.State != MachineUp || server == nil:
		return pools.Fit
	case server.Draining || s.reserved[m.Server] || now-max(server.AnnouncedAt, server.AnsweredAt) > schedule.AnnouncementTimeout:
		return pools.Absent
	case server.Health.Suspect():
		return pools.Suspect
	}
	return pools.Fit
}

// machineLabelsLocked returns the labels of a machine for the sizes of pools. One that is down counts for none: it may never come back.
func (s *session) machineLabelsLocked(m Machine) []string {
	if m.State == MachineDown {
		return nil
	}
	if server := s.fleet.Get(m.Server); server != nil && m.State == MachineUp {
		return server.Labels
	}
	return m.Labels
}

// logUnservedLabelsLocked logs, once for each, the labels that tasks need and no machine has.
func (s *session) logUnservedLabelsLocked(demand []pools.Pool, machines []Machine) {
	unserved := make(map[string]bool)
	for _, d := range demand {
		for _, n := range d.Labels {
			if !slices.ContainsFunc(machines, func(m Machine) bool { return slices.Contains(s.machineLabelsLocked(m), n.Label) }) {
				unserved[n.Label] = true
				if !s.unservedLabels[n.Label] {
					s.log.Warn("no machine has the label that tasks need; they wait", "pool", d.Name, "label", n.Label)
				}
			}
		}
	}
	s.unservedLabels = unserved
}

// recordMachineSizeLocked updates the size of the largest server.
func (s *session) recordMachineSizeLocked(id string) {
	if server := s.fleet.Get(id); server != nil {
		s.machineCPU, s.machineMemMB = max(s.machineCPU, server.Capacity.CPU), max(s.machineMemMB, server.Capacity.MemMB)
	}
}

// orderableLocked reports whether a machine may be moved or taken down. It must be up. Outside standby pools the list must
// also show its server, because a machine that is coming back may get tasks before the list shows it.
func (s *session) orderableLocked(m Machine) bool {
	if m.State != MachineUp {
		return false
	}
	pool := s.engine.ledger.Index().Pool(m.Pool)
	return m.Server != "" || pool != nil && pool.Standby
}

// movableLocked reports whether a machine may leave its pool: orderableLocked and mayOrderMachineLocked allow it, nothing
// runs on it or is planned for it, no upkeep is being prepared, and no earlier order may still take effect or has just been
// refused.
func (s *session) movableLocked(m Machine, now time.Duration) bool {
	_, upkeep := s.upkeepServer[m.Name]
	if !s.orderableLocked(m) || !s.mayOrderMachineLocked(m.Name) || upkeep || now < s.moveNotBefore[m.Name] {
		return false
	}
	if _, moving := s.movedAt[m.Name]; moving {
		return false // the list doesn't show the result of its last order yet
	}
	if m.Server == "" {
		return true // the machine is off, in a standby pool
	}
	server := s.fleet.Get(m.Server)
	if server == nil || server.Draining || s.reserved[m.Server] {
		return false
	}
	return s.idleLocked(m.Server)
}

// moveMachine orders the move of one machine to its new pool. It reports whether the move may be carried out.
func (s *session) moveMachine(m pools.Move) bool {
	var moved incarnationAt
	s.engine.mu.Lock()
	server := s.movesInFlight[m.Machine]
	if known := s.fleet.Get(server); known != nil {
		moved = incarnationOf(known)
	}
	s.engine.mu.Unlock()
	answer, err := s.orderMachine(machineOrder{machine: m.Machine, server: server}, func(ctx context.Context) (MachineAnswer, error) {
		return s.machines.Move(ctx, s.holder, m.Machine, m.To)
	})
	s.log.Info("machine moves", "machine", m.Machine, "server", server, "from", m.From, "to", m.To,
		"list_age", boottime.Now()-s.cachedMachines.lastRequested(), "answer", answer, "error", err)
	s.engine.mu.Lock()
	defer s.engine.mu.Unlock()
	switch {
	case errors.Is(err, errWithheld):
		s.abandonMoveLocked(m.Machine, server)
		return false
	case err != nil:
		s.moveUnanswered[m.Machine] = true
		s.machineOrderUnansweredLocked()
	case answer == MachineAccepted:
		delete(s.moveUnanswered, m.Machine)
	default:
		s.abandonMoveLocked(m.Machine, server)
		s.moveNotBefore[m.Machine] = boottime.Now() + moveRefusalBackoff
		s.scheduleRefreshLocked(minRefreshInterval)
		return false
	}
	delete(s.movesInFlight, m.Machine)
	s.movedAt[m.Machine], s.movedTo[m.Machine] = boottime.Now(), m.To
	s.scheduleRefreshLocked(refreshDelay)
	// A server may have started anew under the ID before the answer came.
	if old := s.fleet.Get(server); old != nil && err == nil && incarnationOf(old) == moved {
		old.Left = true
	}
	return true
}
