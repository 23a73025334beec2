package dispatch

import (
	"context"
	"sync"
	"time"

	"laburnumrouter/internal/process/boottime"
	"laburnumrouter/internal/request/ledger"
	"laburnumrouter/internal/request/schedule"
	"laburnumrouter/internal/request/upkeep"
)

const (
	// missingFor is how long the platform's list must have lacked a machine: two upkeeps or moves.
	missingFor = 6 * time.Second
	// upkeepEvery is the time between looks at the waves.
	upkeepEvery = 200 * time.Millisecond
)

// upkeepLoop carries out waves.
func (s *session) upkeepLoop() {
	ticker := time.NewTicker(upkeepEvery)
	defer ticker.Stop()
	for {
		select {
		case <-s.ctx.Done():
			return
		case <-ticker.C:
		}
		if s.machines == nil || !s.mayOrder() {
			continue
		}
		for _, number := range s.openWaves() {
			s.advanceWave(number)
		}
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

// advanceWave does what is next for a wave.
func (s *session) advanceWave(number int64) {
	if s.viewStale() && !s.readMachines(s.view) {
		return
	}
	byName, readAt := s.view.look()
	marks := s.returned(number, byName, readAt)
	if len(marks) > 0 {
		if _, err := s.propose(&ledger.Command{Upkeep: marks}); err != nil {
			s.log.Warn("upkeep not noted", "wave", number, "error", err)
			return
		}
	}
	s.orderUpkeeps(number, s.decideWave(number, byName), byName)
}

// returned lists the machines of a wave whose upkeep is over: the platform says that they are up after an order that
// was taken.
func (s *session) returned(number int64, byName map[string]Machine, readAt time.Duration) []ledger.UpkeepMark {
	s.engine.mu.Lock()
	defer s.engine.mu.Unlock()
	w := s.engine.ledger.Wave(number)
	var marks []ledger.UpkeepMark
	for _, name := range w.Machines {
		m, known := byName[name]
		switch {
		case w.Phases[name] == ledger.UpkeepOver:
		case !known:
			// A list may lack a machine for a while. Only the answer to an order tells that it no longer exists.
		case w.Phases[name] == ledger.UpkeepOrdered && m.State == MachineUp && s.upkeepTaken[name] > 0 && readAt > s.upkeepTaken[name]:
			s.log.Info("machine is back from its upkeep", "wave", number, "machine", name, "server", m.Server)
			delete(s.reserved, s.reservedFor[name])
			delete(s.reservedFor, name)
			marks = append(marks, ledger.UpkeepMark{Wave: number, Machine: name, Phase: ledger.UpkeepOver})
		}
	}
	return marks
}

// decideWave reserves machines, stops lasting tasks on them and returns those that are to be taken down.
func (s *session) decideWave(number int64, byName map[string]Machine) []string {
	s.engine.mu.Lock()
	defer s.engine.mu.Unlock()
	w := s.engine.ledger.Wave(number)
	var due []upkeep.Machine
	var again []string
	for _, name := range w.Machines {
		m, known := byName[name]
		if w.Phases[name] == ledger.UpkeepOver {
			continue
		}
		if !known {
			if s.missingLocked(name) {
				again = append(again, name)
			}
			continue
		}
		delete(s.missing, name)
		if w.Phases[name] == ledger.UpkeepOrdered {
			if s.upkeepTaken[name] == 0 && s.upLocked(m) && s.mayTakeLocked(name) {
				again = append(again, name) // ordered, by this leader or an earlier one, without an answer
				s.reserved[m.Server], s.reservedFor[name] = true, m.Server
			}
			continue
		}
		due = append(due, s.machineLocked(m))
	}
	d := upkeep.Next(w, time.Now().UnixMilli(), due)
	for _, name := range d.Reserve {
		server := byName[name].Server
		if server != "" {
			s.reserved[server] = true
		}
		s.reservedFor[name] = server
	}
	rooms := schedule.NewRooms(s.planInputLocked())
	for _, name := range w.Machines {
		if s.upkeepTaken[name] == 0 && w.Phases[name] != ledger.UpkeepOver {
			s.vacateLocked(s.reservedFor[name], rooms)
		}
	}
	return append(again, d.Order...)
}

// missingLocked reports whether the platform's list has lacked a machine for so long that an order is to tell whether
// it still exists.
func (s *session) missingLocked(name string) bool {
	now := boottime.Now()
	since, ok := s.missing[name]
	if !ok {
		s.missing[name] = now
		return false
	}
	if now-since < missingFor {
		return false
	}
	s.missing[name] = now
	return true
}

// machineLocked describes a machine for the decision.
func (s *session) machineLocked(m Machine) upkeep.Machine {
	d := upkeep.Machine{Busy: s.forecast.Hot(m.Pool), Name: m.Name, Up: s.upLocked(m) && s.mayTakeLocked(m.Name), Reserved: s.reservedFor[m.Name] != "" && s.reserved[m.Server]}
	for id, t := range s.engine.ledger.LiveOn(m.Server) {
		step := &s.engine.ledger.Job(id.Job).Steps[id.Step]
		d.Runs++
		if step.Lasting {
			d.Lasting++
			if !s.mayStopLocked(id, t) {
				d.Stuck++
			}
			continue
		}
		d.BusyMS = max(d.BusyMS, step.EstimateMS)
	}
	return d
}

// vacateLocked stops lasting tasks on a reserved server as far as their steps may miss them and another server has room.
func (s *session) vacateLocked(server string, rooms *schedule.Rooms) {
	if server == "" || !s.reserved[server] {
		return
	}
	for id, t := range s.engine.ledger.LiveOn(server) {
		lasting := s.engine.ledger.Job(id.Job).Steps[id.Step].Lasting
		if lasting && s.settledLocked(id, t) && s.mayStopLocked(id, t) && rooms.Take(id) {
			s.stopLocked(id, t, "its machine has upkeep")
		}
	}
}

// mayStopLocked reports whether the step of a lasting task can miss one more task.
func (s *session) mayStopLocked(id ledger.TaskID, t *ledger.Task) bool {
	j := s.engine.ledger.Job(id.Job)
	step := &j.Steps[id.Step]
	if step.MayMiss == 0 || j.State.Final() {
		return true
	}
	away := 0
	for i := range j.Occurrences[id.K].Steps[id.Step].Tasks {
		other := ledger.TaskID{Job: id.Job, K: id.K, Step: id.Step, Index: i}
		if other != id && !s.atWorkLocked(other) {
			away++
		}
	}
	return away < step.MayMiss
}

// atWorkLocked reports whether a lasting task was at work when its server was last asked.
func (s *session) atWorkLocked(id ledger.TaskID) bool {
	_, t := s.engine.ledger.Task(id)
	if t == nil || t.Phase != ledger.Live {
		return false
	}
	o := s.orders[runKey{id, t.Run}]
	if o == nil || o.stopping || o.percent < 100 {
		return false
	}
	server := s.fleet.Get(t.Worker)
	return server != nil && server.FailedCalls == 0
}

// orderUpkeeps takes machines down. The orders are noted, all in one entry of the log, before they leave.
func (s *session) orderUpkeeps(number int64, names []string, byName map[string]Machine) {
	c := &ledger.Command{By: s.holder.Fence}
	for _, name := range s.reserveEmpty(names, byName) {
		c.Upkeep = append(c.Upkeep, ledger.UpkeepMark{Wave: number, Machine: name, Phase: ledger.UpkeepOrdered})
	}
	if len(c.Upkeep) == 0 {
		return
	}
	if _, err := s.propose(c); err != nil {
		s.log.Warn("upkeep not noted", "wave", number, "machines", len(c.Upkeep), "error", err)
		return
	}
	inParallel(c.Upkeep, func(m ledger.UpkeepMark) { s.orderUpkeep(m, byName[m.Machine].Server) })
}

// reserveEmpty reserves the machines of a list on which nothing runs or is about to, and returns them.
func (s *session) reserveEmpty(names []string, byName map[string]Machine) (empty []string) {
	s.engine.mu.Lock()
	defer s.engine.mu.Unlock()
	for _, name := range names {
		server := byName[name].Server
		s.reservedFor[name] = server
		if server != "" {
			s.reserved[server] = true
		}
		if server == "" || len(s.engine.ledger.LiveOn(server)) == 0 && s.planned[server] == 0 {
			empty = append(empty, name)
		}
	}
	return empty
}

// orderUpkeep takes one machine down.
func (s *session) orderUpkeep(m ledger.UpkeepMark, server string) {
	if !s.mayOrder() {
		return
	}
	ctx, cancel := context.WithTimeout(s.ctx, machineTimeout)
	defer cancel()
	answer, err := s.machines.Upkeep(ctx, s.holder, m.Machine, m.Wave)
	s.stats.machineCalls.Inc(1)
	s.log.Info("upkeep ordered", "wave", m.Wave, "machine", m.Machine, "server", server, "answer", answer, "error", err)
	if err != nil {
		return
	}
	switch answer {
	case MachineTaken:
		s.engine.mu.Lock()
		s.upkeepTaken[m.Machine] = boottime.Now()
		s.rereadLocked(settle)
		if old := s.fleet.Get(server); old != nil {
			old.Left = true
		}
		s.engine.mu.Unlock()
	case MachineNotInWave, MachineRefused:
		m.Phase = ledger.UpkeepOver
		if _, err := s.propose(&ledger.Command{Upkeep: []ledger.UpkeepMark{m}}); err != nil {
			s.log.Warn("upkeep not noted", "wave", m.Wave, "machine", m.Machine, "error", err)
		}
	}
}

// inParallel calls f for each element, some at a time, and waits for all.
func inParallel[T any](list []T, f func(T)) {
	var group sync.WaitGroup
	slots := make(chan struct{}, callsAtOnce)
	for _, element := range list {
		slots <- struct{}{}
		group.Go(func() {
			defer func() { <-slots }()
			f(element)
		})
	}
	group.Wait()
}
