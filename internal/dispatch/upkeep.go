package dispatch

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"laburnumrouter/internal/process/boottime"
	"laburnumrouter/internal/request/ledger"
	"laburnumrouter/internal/request/schedule"
	"laburnumrouter/internal/request/upkeep"
)

const (
	// missingTimeout is how long a machine must be missing from the platform's list before an upkeep order is sent to find
	// out from its answer whether the machine still exists: the duration of two upkeeps or moves.
	missingTimeout = 6 * time.Second
	// gonePeriods is the number of times that a machine must be missing for missingTimeout and refuse its upkeep as busy
	// before it counts as gone.
	gonePeriods = 2
	// waveCheckInterval is the time between checks of the waves.
	waveCheckInterval = 200 * time.Millisecond
	// maxReportAge is how long ago the newest report on a lasting task may have been requested for the task to count as
	// working: a server is asked again after each answer and may wait for holdWait, so two waits and a call pass at most.
	maxReportAge = 2*holdWait + callTimeout + 100*time.Millisecond
	// freshReportAge is the same bound for the moment at which another task of the step is stopped. A report on a server whose
	// tasks run on is up to holdWait old when it is processed, and a check of the waves takes up to half a second, because it
	// waits for calls to the platform. The users count a task as away once it hasn't worked for 5.5 s (notice_ms).
	freshReportAge = holdWait + 700*time.Millisecond
)

// upkeepKey identifies the upkeep of a machine in a wave.
type upkeepKey struct {
	wave    int64
	machine string
}

// upkeepLoop carries out maintenance waves and moves lasting tasks out of evacuated data centres.
func (s *session) upkeepLoop() {
	ticker := time.NewTicker(waveCheckInterval)
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
		s.moveLastingFromEvacuated()
		if s.machines == nil {
			continue
		}
		open := s.openWaves()
		for _, number := range open {
			s.advanceWave(number)
		}
		s.updateDueServers(open)
	}
}

func (s *session) openWaves() []int64 {
	s.engine.mu.Lock()
	defer s.engine.mu.Unlock()
	var open []int64
	for n, w := range s.engine.ledger.Waves {
		if !w.Completed() {
			open = append(open, n)
		}
	}
	return open
}

// updateDueServers records the servers whose machines still have their upkeep in an open wave before them.
func (s *session) updateDueServers(open []int64) {
	byName, _ := s.cachedMachines.snapshot()
	due := make(map[string]bool)
	s.engine.mu.Lock()
	defer s.engine.mu.Unlock()
	for _, number := range open {
		w := s.engine.ledger.Wave(number)
		for _, name := range w.Machines {
			if server := byName[name].Server; server != "" && w.Phases[name] != ledger.UpkeepDone {
				due[server] = true
			}
		}
	}
	s.dueServers = due
}

// advanceWave takes the next steps of a wave.
func (s *session) advanceWave(number int64) {
	if s.machinesStale() && !s.refreshMachines(s.cachedMachines) {
		return
	}
	byName, requestedAt := s.cachedMachines.snapshot()
	marks := s.returnedMachines(number, byName, requestedAt)
	if len(marks) > 0 {
		if _, err := s.propose(&ledger.Command{Upkeep: marks}); err != nil {
			s.log.Warn("upkeep progress not committed", "wave", number, "error", err)
			return
		}
	}
	s.orderUpkeeps(number, s.planWave(number, byName, requestedAt))
}

// returnedMachines returns the machines of a wave whose upkeep is over: the platform lists them as up in a read that
// began after their order was accepted.
func (s *session) returnedMachines(number int64, byName map[string]Machine, requestedAt time.Duration) []ledger.UpkeepTransition {
	s.engine.mu.Lock()
	defer s.engine.mu.Unlock()
	w := s.engine.ledger.Wave(number)
	var marks []ledger.UpkeepTransition
	for _, name := range w.Machines {
		m, known := byName[name]
		switch {
		case w.Phases[name] == ledger.UpkeepDone:
		case !known:
			// A list may lack a machine temporarily. Only the answer to an upkeep order tells whether it still
			// exists.
		case w.Phases[name] == ledger.UpkeepOrdered && m.State == MachineUp && s.upkeepAcceptedLocked(number, name) && requestedAt > s.upkeepAcceptedAt[upkeepKey{number, name}]:
			s.log.Info("machine is back from its upkeep", "wave", number, "machine", name, "server", m.Server)
			// An order is also accepted if the upkeep is over already: the server may have started after it.
			if old := s.fleet.Get(s.upkeepServer[name]); old != nil && old.ID != m.Server {
				old.Left = true
			}
			s.releaseFromUpkeepLocked(name)
			marks = append(marks, ledger.UpkeepTransition{Wave: number, Machine: name, Phase: ledger.UpkeepDone})
		}
	}
	return marks
}

// upkeepAcceptedLocked reports whether the platform has accepted an order of this leader for a machine's upkeep in a wave.
func (s *session) upkeepAcceptedLocked(wave int64, machine string) bool {
	_, accepted := s.upkeepAcceptedAt[upkeepKey{wave, machine}]
	return accepted
}

// releaseFromUpkeepLocked makes a machine available again and forgets for how long the platform's list has lacked it.
func (s *session) releaseFromUpkeepLocked(name string) {
	delete(s.reserved, s.upkeepServer[name])
	delete(s.upkeepServer, name)
	delete(s.missingSince, name)
	delete(s.missingChecks, name)
}

// planWave reserves machines, stops lasting tasks on them and returns the machines to take down now. requestedAt is when the
// list of machines was requested.
func (s *session) planWave(number int64, byName map[string]Machine, requestedAt time.Duration) []string {
	s.engine.mu.Lock()
	defer s.engine.mu.Unlock()
	w := s.engine.ledger.Wave(number)
	var due []upkeep.Machine
	var recheck []string
	for _, name := range w.Machines {
		m, known := byName[name]
		if w.Phases[name] == ledger.UpkeepDone {
			continue
		}
		if !known {
			missing := s.describeMachineLocked(Machine{Name: name, Server: s.cachedMachines.lastServer(name)})
			missing.Missing, missing.Orderable = true, s.mayBeOrderedLocked(name) // the order may find it up
			switch {
			case !s.missingTooLongLocked(name, requestedAt):
			case w.Phases[name] != ledger.UpkeepOrdered:
				due = append(due, missing)
			case missing.Orderable && missing.Runs == 0:
				recheck = append(recheck, name)
			}
			continue
		}
		delete(s.missingSince, name)
		delete(s.missingChecks, name)
		if w.Phases[name] == ledger.UpkeepOrdered {
			if !s.upkeepAcceptedLocked(number, name) && s.orderableLocked(m) {
				// Already ordered, by this leader or an earlier one, but not answered: it may take effect at any time.
				s.reserved[m.Server], s.upkeepServer[name] = true, m.Server
				if s.mayBeOrderedLocked(name) {
					recheck = append(recheck, name)
				}
			}
			continue
		}
		due = append(due, s.describeMachineLocked(m))
	}
	d := upkeep.Next(w, time.Now().UnixMilli(), due)
	for _, name := range d.Reserve {
		s.reserveForUpkeepLocked(name)
	}
	free := schedule.NewFreeCapacity(s.planInputLocked())
	for _, name := range w.Machines {
		if !s.upkeepAcceptedLocked(number, name) && w.Phases[name] != ledger.UpkeepDone {
			s.stopLastingLocked(s.upkeepServer[name], free)
		}
	}
	order := append(recheck, d.Order...)
	s.countMissingChecksLocked(order, byName, requestedAt)
	return order
}

// mayBeOrderedLocked reports whether this leader may order a machine's upkeep now: no order of another leader and no move
// may still take effect, and the list shows the result of the last move.
func (s *session) mayBeOrderedLocked(name string) bool {
	_, inFlight := s.movesInFlight[name]
	_, unsettled := s.movedAt[name]
	return s.mayOrderMachineLocked(name) && !inFlight && !unsettled
}

// reserveForUpkeepLocked keeps new work from the server that a machine was last listed with, and returns the server.
func (s *session) reserveForUpkeepLocked(name string) string {
	server := s.cachedMachines.lastServer(name)
	if server != "" {
		s.reserved[server] = true
	}
	s.upkeepServer[name] = server
	return server
}

// missingTooLongLocked reports whether a machine that the list requested at requestedAt lacks has been missing for so long
// that an upkeep order is to be sent, whose answer tells whether it still exists. If not, it schedules the next read.
func (s *session) missingTooLongLocked(name string, requestedAt time.Duration) bool {
	since, ok := s.missingSince[name]
	if !ok {
		since = requestedAt
		s.missingSince[name] = since
	}
	if requestedAt-since < missingTimeout {
		s.scheduleRefreshLocked(since + missingTimeout - boottime.Now())
		return false
	}
	return true
}

// countMissingChecksLocked counts a check for each machine to be ordered that the list requested at requestedAt lacks.
func (s *session) countMissingChecksLocked(order []string, byName map[string]Machine, requestedAt time.Duration) {
	for _, name := range order {
		if _, known := byName[name]; !known {
			s.missingSince[name] = requestedAt
			s.missingChecks[name]++
		}
	}
}

// describeMachineLocked returns the input of upkeep.Next for a machine.
func (s *session) describeMachineLocked(m Machine) upkeep.Machine {
	d := upkeep.Machine{Evacuated: s.machineEvacuatedLocked(m), PoolInDemand: s.forecast.InTurn(m.Pool), Name: m.Name, Orderable: s.orderableLocked(m) && s.mayBeOrderedLocked(m.Name), Reserved: s.upkeepServer[m.Name] != "" && s.reserved[m.Server]}
	for id, t := range s.engine.ledger.LiveOn(m.Server) {
		step := &s.engine.ledger.Job(id.Job).Steps[id.Step]
		d.Runs++
		if step.Lasting {
			d.Lasting++
			d.Steps = append(d.Steps, upkeep.LastingStep{Job: id.Job, Occurrence: id.Occurrence, Step: id.Step, MayMiss: step.MayMiss})
			if !s.mayStopLocked(id, t) {
				d.Unstoppable++
			}
			continue
		}
		d.LongestTaskMS = max(d.LongestTaskMS, step.EstimateMS)
	}
	return d
}

// stopLastingLocked stops lasting tasks on a reserved server if their steps can miss them and another server has room.
func (s *session) stopLastingLocked(server string, free *schedule.FreeCapacity) {
	if server == "" || !s.reserved[server] {
		return
	}
	for id, t := range s.engine.ledger.LiveOn(server) {
		lasting := s.engine.ledger.Job(id.Job).Steps[id.Step].Lasting
		if lasting && s.orderSentLocked(id, t) && s.mayStopLocked(id, t) && (s.stoppingLocked(id, t) || s.reportsFreshLocked(id, s.allowanceLocked(id))) && free.ReserveElsewhere(id) {
			s.stopWithinBudgetLocked(id, t, "its machine has upkeep", s.allowanceLocked(id))
		}
	}
}

// stoppingLocked reports whether stops of a run are being sent.
func (s *session) stoppingLocked(id ledger.TaskID, t *ledger.Task) bool {
	o := s.orders[runKey{id, t.Run}]
	return o != nil && o.stopping
}

// mayStopLocked reports whether stopping a lasting task stays within the MayMiss limit of its step.
func (s *session) mayStopLocked(id ledger.TaskID, _ *ledger.Task) bool {
	return s.mayMissLocked(id, len(s.othersAwayLocked(id, maxReportAge)), s.allowanceLocked(id))
}

// allowanceLocked returns how many tasks of a lasting step may be unavailable at a time; 0 means no limit.
func (s *session) allowanceLocked(id ledger.TaskID) int {
	return s.engine.ledger.Job(id.Job).Steps[id.Step].MayMiss
}

// mayMissLocked reports whether a lasting task may be stopped while others of its step are away; a limit of 0 means no limit.
func (s *session) mayMissLocked(id ledger.TaskID, away, limit int) bool {
	return limit == 0 || s.engine.ledger.Job(id.Job).State.Final() || away < limit
}

// othersAwayLocked returns the other tasks of a task's step that don't work in full by reports of at most maxAge.
func (s *session) othersAwayLocked(id ledger.TaskID, maxAge time.Duration) (away []ledger.TaskID) {
	o := s.engine.ledger.Job(id.Job).Occurrences[id.Occurrence]
	if o == nil {
		return nil // the job is over, and its occurrences are dropped
	}
	for i := range o.Steps[id.Step].Tasks {
		other := id
		if other.Index = i; other != id && !s.fullyRunningLocked(other, maxAge) {
			away = append(away, other)
		}
	}
	return away
}

// describeOthersLocked describes, for the log, up to maxLoggedRuns other tasks of a lasting task's step that don't work in full, and
// the age of the oldest report on those that do. It returns an empty string for other tasks, and once the job is over.
func (s *session) describeOthersLocked(id ledger.TaskID) string {
	j := s.engine.ledger.Job(id.Job)
	o := j.Occurrences[id.Occurrence]
	if o == nil || j.State.Final() || !j.Steps[id.Step].Lasting {
		return ""
	}
	var away []string
	oldest, now := time.Duration(0), boottime.Now()
	for i := range o.Steps[id.Step].Tasks {
		other := id
		if other.Index = i; other == id {
			continue
		}
		t := &o.Steps[id.Step].Tasks[i]
		switch {
		case s.fullyRunningLocked(other, maxReportAge):
			oldest = max(oldest, now-s.orders[runKey{other, t.Run}].reportedAt)
		case len(away) < maxLoggedRuns:
			away = append(away, fmt.Sprintf("%d run %d %v", i, t.Run, s.orderStateLocked(other, t)))
		}
	}
	return fmt.Sprintf("away %v of %d, may miss %d, oldest report %v", away, len(o.Steps[id.Step].Tasks), j.Steps[id.Step].MayMiss, oldest)
}

// orderStateLocked describes what is known of a task's newest run, for the log.
func (s *session) orderStateLocked(id ledger.TaskID, t *ledger.Task) string {
	o := s.orders[runKey{id, t.Run}]
	switch {
	case t.Phase != ledger.Live:
		return "not ordered"
	case o == nil:
		return "inherited"
	case o.stopping:
		return "being stopped"
	case s.fleet.Get(t.Worker) != nil && o.unsettled(s.fleet.Get(t.Worker)):
		return "possibly stopped by an earlier leader"
	}
	return fmt.Sprintf("%v, %d%% %v ago", o.state, o.percent, ago(boottime.Now(), o.reportedAt))
}

// reportsFreshLocked reports whether stopping a lasting task stays within a limit of unavailable tasks of its step by reports
// of at most freshReportAge. Otherwise it requests reports on all other tasks of the step: if each were requested only when its
// own report is too old, they would never be fresh together.
func (s *session) reportsFreshLocked(id ledger.TaskID, limit int) bool {
	if s.mayMissLocked(id, len(s.othersAwayLocked(id, freshReportAge)), limit) {
		return true
	}
	for _, other := range s.othersAwayLocked(id, 0) {
		if s.fullyRunningLocked(other, maxReportAge) {
			_, t := s.engine.ledger.Task(other)
			s.requestReportLocked(t.Worker)
		}
	}
	return false
}

// fullyRunningLocked reports whether a lasting task works in full: the last report of its server, requested at most maxAge
// ago, says so, the server hasn't failed or refused to answer since, and no stop of the run, by this leader or an earlier one, may
// still take effect.
func (s *session) fullyRunningLocked(id ledger.TaskID, maxAge time.Duration) bool {
	_, t := s.engine.ledger.Task(id)
	if t == nil || t.Phase != ledger.Live {
		return false
	}
	now, o := boottime.Now(), s.orders[runKey{id, t.Run}]
	if o == nil || o.stopping || now < o.stopPossibleUntil || o.percent < 100 || now-o.reportedAt > maxAge {
		return false
	}
	server := s.fleet.Get(t.Worker)
	return server != nil && server.Responsive() && !o.unsettled(server)
}

// orderUpkeeps takes machines down. All orders are committed in one log entry before they are sent.
func (s *session) orderUpkeeps(number int64, names []string) {
	orders := s.reserveAndPickIdle(names)
	if len(orders) == 0 {
		return
	}
	c := &ledger.Command{By: s.holder.Fence}
	for _, o := range orders {
		c.Upkeep = append(c.Upkeep, ledger.UpkeepTransition{Wave: number, Machine: o.machine, Phase: ledger.UpkeepOrdered, Server: o.server})
	}
	if _, err := s.propose(c); err != nil {
		s.log.Warn("upkeep orders not committed", "wave", number, "machines", len(c.Upkeep), "error", err)
		return
	}
	inParallel(orders, func(o machineOrder) { s.orderUpkeep(number, o) })
}

// reserveAndPickIdle reserves all named machines but those whose move is under way, and returns orders for those on which no
// work would end.
func (s *session) reserveAndPickIdle(names []string) (orders []machineOrder) {
	s.engine.mu.Lock()
	defer s.engine.mu.Unlock()
	for _, name := range names {
		if _, moving := s.movesInFlight[name]; moving {
			continue
		}
		o := machineOrder{machine: name, server: s.reserveForUpkeepLocked(name)}
		if s.idleLocked(o.server) {
			orders = append(orders, o)
		}
	}
	return orders
}

// orderUpkeep takes one machine down.
func (s *session) orderUpkeep(wave int64, o machineOrder) {
	answer, err := s.orderMachine(o, func(ctx context.Context) (MachineAnswer, error) {
		return s.machines.Upkeep(ctx, s.holder, o.machine, wave)
	})
	s.log.Info("upkeep ordered", "wave", wave, "machine", o.machine, "server", o.server, "list_age", boottime.Now()-s.cachedMachines.lastRequested(), "answer", answer, "error", err)
	if errors.Is(err, errWithheld) {
		return
	}
	s.engine.mu.Lock()
	if s.upkeepUnanswered[o.machine] = err != nil; err != nil {
		s.machineOrderUnansweredLocked()
	}
	s.engine.mu.Unlock()
	if err != nil {
		return
	}
	m := ledger.UpkeepTransition{Wave: wave, Machine: o.machine, Phase: ledger.UpkeepOrdered}
	switch answer {
	case MachineAccepted:
		s.engine.mu.Lock()
		s.upkeepAcceptedAt[upkeepKey{m.Wave, m.Machine}] = boottime.Now()
		s.scheduleRefreshLocked(refreshDelay)
		s.engine.mu.Unlock()
	case MachineNotInWave, MachineRefused:
		s.endWithoutUpkeep(m, answer.String())
	case MachineBusy:
		if s.hasLeft(m.Machine) {
			// The list shows machines in every state, so one that it lacks and that can't be taken down leaves for good.
			s.endWithoutUpkeep(m, "leaves")
		}
	}
}

// endWithoutUpkeep commits that a wave ends without the upkeep of a machine, and releases the machine.
func (s *session) endWithoutUpkeep(m ledger.UpkeepTransition, reason string) {
	s.log.Info("machine of a wave has no upkeep", "wave", m.Wave, "machine", m.Machine, "reason", reason)
	s.engine.mu.Lock()
	s.releaseFromUpkeepLocked(m.Machine)
	s.engine.mu.Unlock()
	m.Phase = ledger.UpkeepDone
	if _, err := s.propose(&ledger.Command{Upkeep: []ledger.UpkeepTransition{m}}); err != nil {
		s.log.Warn("upkeep progress not committed", "wave", m.Wave, "machine", m.Machine, "error", err)
	}
}

// hasLeft reports whether the platform's list has lacked a machine in all reads since gonePeriods of missingTimeout.
func (s *session) hasLeft(name string) bool {
	s.engine.mu.Lock()
	defer s.engine.mu.Unlock()
	return s.missingChecks[name] >= gonePeriods
}

// inParallel calls f for each element, at most maxParallelCalls at a time, and waits for all.
func inParallel[T any](list []T, f func(T)) {
	var group sync.WaitGroup
	slots := make(chan struct{}, maxParallelCalls)
	for _, element := range list {
		slots <- struct{}{}
		group.Go(func() {
			defer func() { <-slots }()
			f(element)
		})
	}
	group.Wait()
}
