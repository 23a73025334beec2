package dispatch

import (
	"cmp"
	"context"
	"slices"
	"time"

	"laburnumrouter/internal/process/boottime"
	"laburnumrouter/internal/request/forecast"
	"laburnumrouter/internal/request/ledger"
	"laburnumrouter/internal/request/pools"
	"laburnumrouter/internal/version/accepted"
)

const (
	// poolsEvery is the time between looks at the pools.
	poolsEvery = 150 * time.Millisecond
	// arriving is how long a machine that was moved counts for its new pool before the platform's list shows it there:
	// migrate_s (1.5 s) and the time until its server has announced itself.
	arriving = 2500 * time.Millisecond
	// settle is how long after a move or an upkeep the platform's list is read again: migrate_s (1.5 s) and a little.
	settle = 1700 * time.Millisecond
	// viewGap is the least time between readings of the list, also of a machine that is slow to come back; each has its price.
	viewGap = 600 * time.Millisecond
	// viewAge is the oldest that the list may be without a known change.
	viewAge = 10 * time.Second
	// lateCall is how long an order for a machine may still be carried out that was not answered (applied_late: 12 s).
	lateCall = 13 * time.Second
	// lendShare is the part of its first size that a pool keeps while others lack machines and its own turn may come at any
	// time; it is enough for a turn's first second, in which machines come back.
	lendShare = 0.6
	// forgetServer is how long a server without runs must be silent before it is dropped: longer than an announcement may
	// be under way (12 s), so that a late one of a server that left doesn't make it look new.
	forgetServer = 30 * time.Second
	// busyPause is how long a machine that the platform called busy is left alone: about the time of a move.
	busyPause = 1500 * time.Millisecond
	// coldFloor is the least number of machines of a pool of which no turn is expected: a large task finds room at once.
	coldFloor = 2
	// callsAtOnce bounds the calls to the platform that are under way at once; it takes duty_per_s (64) a second.
	callsAtOnce = 12
)

// poolLoop moves machines between pools and drops servers that are gone.
func (s *session) poolLoop() {
	ticker := time.NewTicker(poolsEvery)
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
			s.movePools()
		}
	}
}

// forgetServers drops servers that were neither heard nor reached for long and hold nothing, so that the log's state stays
// as large as the fleet.
func (s *session) forgetServers() {
	s.engine.mu.Lock()
	now := boottime.Now()
	var gone []ledger.Incarnation
	for id, server := range s.fleet.All() {
		if now-max(server.HeardAt, server.ContactAt) > forgetServer && len(s.engine.ledger.LiveOn(id)) == 0 && s.planned[id] == 0 {
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
		if server := s.fleet.Get(g.ID); server != nil && server.Born == g.Born && now-server.HeardAt > forgetServer {
			s.fleet.Remove(g.ID)
			delete(s.reserved, g.ID)
			delete(s.pacers, g.ID)
		}
	}
	s.log.Info("silent servers dropped", "servers", len(gone))
}

// movePools makes one plan and carries it out.
func (s *session) movePools() {
	if s.viewStale() && !s.readMachines(s.view) {
		return
	}
	moves := s.planPools()
	if len(moves) == 0 || !s.noteMoves(moves) {
		return
	}
	inParallel(moves, s.move)
}

// noteMoves commits what is about to be ordered, so that the next leader knows.
func (s *session) noteMoves(moves []pools.Move) bool {
	c := &ledger.Command{By: s.holder.Fence}
	for _, m := range moves {
		c.Moves = append(c.Moves, ledger.MachineMove{Machine: m.Machine, Pool: m.To})
	}
	_, err := s.propose(c)
	if err == nil {
		return true
	}
	s.log.Warn("moves not committed", "moves", len(moves), "error", err)
	for _, m := range moves {
		s.unreserve(s.view.get(m.Machine).Server)
	}
	return false
}

// viewStale reports whether the platform's list is to be read again.
func (s *session) viewStale() bool {
	s.engine.mu.Lock()
	defer s.engine.mu.Unlock()
	now, asOf := boottime.Now(), s.view.asOf()
	switch {
	case asOf == 0 || now-asOf > viewAge:
		return true
	case s.rereadAt == 0 || now-asOf < viewGap:
		return false
	}
	return now >= s.rereadAt
}

// rereadLocked asks for a new reading of the platform's list after a while.
func (s *session) rereadLocked(after time.Duration) {
	if at := boottime.Now() + after; s.rereadAt == 0 || at < s.rereadAt {
		s.rereadAt = at
	}
}

// planPools plans and reserves the machines that are to move.
func (s *session) planPools() []pools.Move {
	now := boottime.Now()
	machines := s.view.machines()
	s.engine.mu.Lock()
	defer s.engine.mu.Unlock()
	index := s.engine.ledger.Index()
	if index == nil || len(machines) == 0 {
		return nil
	}
	var cpu int64
	var list []pools.Machine
	for _, m := range machines {
		if at, ok := s.movedAt[m.Name]; ok && m.Pool != s.movedTo[m.Name] {
			if now-at < arriving || now-at < lateCall && s.moveOpen[m.Name] {
				m.Pool, m.State = s.movedTo[m.Name], MachineMoving
			}
		}
		if _, leaves := s.reservedFor[m.Name]; leaves {
			m.Pool = "" // it is lost to its pool until it is back from its upkeep
		}
		cpu = max(cpu, s.serverCPULocked(m.Server))
		list = append(list, pools.Machine{Name: m.Name, Pool: m.Pool, Movable: s.movableLocked(m, now)})
	}
	s.machineCPU = max(cpu, s.machineCPU)
	s.startForecastLocked(index.Config().Pools)
	demand := s.demandLocked(index.Config().Pools)
	moves := s.pools.Plan(now, demand, list, s.machineCPU)
	for _, m := range moves {
		if server := s.view.get(m.Machine).Server; server != "" {
			s.reserved[server] = true
		}
	}
	return moves
}

func (s *session) serverCPULocked(id string) int64 {
	if server := s.fleet.Get(id); server != nil {
		return server.Capacity.CPU
	}
	return 0
}

// upLocked reports whether an order for a machine can hold: it is up, and its server is known unless its pool is off.
// A machine that is about to come back may have tasks before the list shows its server.
func (s *session) upLocked(m Machine) bool {
	if m.State != MachineUp {
		return false
	}
	pool := s.engine.ledger.Index().Pool(m.Pool)
	return m.Server != "" || pool != nil && pool.Standby
}

// movableLocked reports whether a machine may leave its pool: it is up or off, nothing runs on it or is ordered for
// it, and no upkeep is prepared.
func (s *session) movableLocked(m Machine, now time.Duration) bool {
	_, upkeep := s.reservedFor[m.Name]
	if !s.upLocked(m) || !s.mayTakeLocked(m.Name) || upkeep || now < s.avoidMove[m.Name] {
		return false
	}
	if s.movedAt[m.Name] > s.view.asOf() || s.upkeepTaken[m.Name] > s.view.asOf() {
		return false // the list doesn't show yet what became of it
	}
	if s.moveOpen[m.Name] && now-s.movedAt[m.Name] < lateCall {
		return false // an order without an answer may still be carried out
	}
	if m.Server == "" {
		return true // it is off
	}
	server := s.fleet.Get(m.Server)
	if server == nil || server.Draining || s.reserved[m.Server] {
		return false
	}
	return len(s.engine.ledger.LiveOn(m.Server)) == 0 && s.planned[m.Server] == 0
}

// startForecastLocked tells the forecast the usual sizes of pools, and at first what has arrived before this leader.
func (s *session) startForecastLocked(list []accepted.Pool) {
	if s.forecastOn || s.machineCPU == 0 {
		return
	}
	s.forecastOn = true
	for _, p := range list {
		if !p.Standby {
			s.forecast.SetUsual(p.Name, int64(s.engine.ledger.Size(p.Name))*s.machineCPU)
		}
	}
	var jobs []*ledger.Job
	for _, j := range s.engine.ledger.Jobs {
		if j.Work > 0 {
			jobs = append(jobs, j)
		}
	}
	slices.SortFunc(jobs, func(a, b *ledger.Job) int { return cmp.Compare(a.AcceptedMS, b.AcceptedMS) })
	for _, j := range jobs {
		s.arrivedLocked(j, j.AcceptedMS)
	}
}

// arrivedLocked tells the forecast of a job that was accepted at a moment.
func (s *session) arrivedLocked(j *ledger.Job, atMS int64) {
	index := s.engine.ledger.Index()
	if !s.forecastOn || j == nil || j.Work == 0 || j.AcceptedMS < atMS {
		return
	}
	if q := index.Queue(j.Queue); q != nil {
		s.forecast.Arrive(q.Pool, atMS, j.Work)
	}
}

// demandLocked returns what each pool is asked for and is likely to be asked for soon.
func (s *session) demandLocked(list []accepted.Pool) []pools.Pool {
	at := make(map[string]int, len(list))
	demand := make([]pools.Pool, len(list))
	lasting := make([]int64, len(list))
	apart := make([]int, len(list))
	for i, p := range list {
		at[p.Name] = i
		demand[i] = pools.Pool{Name: p.Name, Standby: p.Standby}
	}
	wall := time.Now().UnixMilli()
	index := s.engine.ledger.Index()
	for _, j := range s.engine.ledger.Open() {
		q := index.Queue(j.Queue)
		if q == nil || j.State.Final() {
			continue
		}
		if i, ok := at[q.Pool]; ok {
			now, stays := schedulable(j, wall)
			demand[i].Need += now + stays
			lasting[i] += stays
			apart[i] = max(apart[i], serversApart(j))
		}
	}
	look := s.forecast.Look(wall)
	s.logOutlookLocked(look)
	for i := range demand {
		d := &demand[i]
		if d.Standby {
			continue
		}
		o := look[d.Name]
		if o.Rate > 0 {
			d.Expected = o.Rate + lasting[i]
		}
		least := max(coldFloor, apart[i])
		d.Floor, d.Least = least, least
		if size := s.engine.ledger.Size(d.Name); o.Open || !s.forecastOn {
			d.Floor, d.Least = max(least, size), max(least, min(size-1, int(lendShare*float64(size))))
		}
	}
	return demand
}

// logOutlookLocked writes a line for each pool of which something else is expected than before.
func (s *session) logOutlookLocked(look map[string]forecast.Outlook) {
	for pool, o := range look {
		before := s.outlook[pool]
		if o.Hot == before.Hot && o.Open == before.Open && (o.Rate > 0) == (before.Rate > 0) {
			continue
		}
		s.outlook[pool] = o
		s.log.Info("outlook changed", "pool", pool, "in_turn", o.Hot, "turn_open", o.Open, "expected_cpu", o.Rate)
	}
}

// serversApart returns how many servers a job's lasting tasks need at least because few may share one.
func serversApart(j *ledger.Job) (n int) {
	for i := range j.Steps {
		if step := &j.Steps[i]; step.Lasting && step.Spread > 0 {
			n = max(n, (step.Count+step.Spread-1)/step.Spread)
		}
	}
	return n
}

// schedulable returns the thousandths of a core that a job would use now if there were room: by tasks that end, and by
// tasks that last.
func schedulable(j *ledger.Job, wallMS int64) (now, stays int64) {
	j.EachDue(wallMS, func(_ int, o *ledger.Occurrence, step int) {
		count := j.Steps[step].Count
		if o != nil {
			count -= o.Steps[step].Done
		}
		cpu := int64(count) * j.Steps[step].Charge().CPU
		if j.Steps[step].Lasting {
			stays += cpu
		} else {
			now += cpu
		}
	})
	return now, stays
}

// move takes one machine to its new pool.
func (s *session) move(m pools.Move) {
	server := s.view.get(m.Machine).Server
	if !s.mayOrder() {
		s.unreserve(server)
		return
	}
	ctx, cancel := context.WithTimeout(s.ctx, machineTimeout)
	defer cancel()
	answer, err := s.machines.Move(ctx, s.holder, m.Machine, m.To)
	s.stats.machineCalls.Inc(1)
	s.log.Info("machine moves", "machine", m.Machine, "server", server, "from", m.From, "to", m.To, "answer", answer, "error", err)
	s.engine.mu.Lock()
	defer s.engine.mu.Unlock()
	switch {
	case err != nil:
		s.moveOpen[m.Machine] = true
	case answer == MachineTaken:
		delete(s.moveOpen, m.Machine)
	default:
		delete(s.reserved, server)
		s.avoidMove[m.Machine] = boottime.Now() + busyPause
		s.rereadLocked(viewGap)
		return
	}
	s.movedAt[m.Machine], s.movedTo[m.Machine] = boottime.Now(), m.To
	s.rereadLocked(settle)
	if old := s.fleet.Get(server); old != nil && err == nil {
		old.Left = true
	}
}

func (s *session) unreserve(server string) {
	s.engine.mu.Lock()
	defer s.engine.mu.Unlock()
	delete(s.reserved, server)
}
