package dispatch

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"laburnumrouter/internal/request/forecast"
	"laburnumrouter/internal/request/ledger"
	"laburnumrouter/internal/request/pools"
	"laburnumrouter/internal/request/schedule"
	"laburnumrouter/internal/version/accepted"
)

const (
	// firstTurnReserve and lendReserve are the machines that a pool without a turn so far keeps beyond those of its lasting
	// tasks, as fractions of its initial size; lendReserve applies while other pools lack machines. A turn's demand reaches a
	// quarter of the usual capacity a second after its first jobs, and machines that are ordered then come two seconds later.
	firstTurnReserve = 0.35
	lendReserve      = 0.2
	// lateWorkTime is the time over which waiting work that can't be in time any more is laid out. It takes machines that are
	// there, and justifies few others.
	lateWorkTime = 3 * time.Second
	// idlePoolMachines is the minimum number of machines of a pool without expected demand, so that a large task can
	// start at once.
	idlePoolMachines = 2
	// maxDisplacedServers is the number of machines that a pool keeps for lasting tasks that leave their servers for an upkeep or
	// an evacuation. A pool that is as small as its lasting tasks allow has no room for them. They leave a few at a time.
	maxDisplacedServers = 4
)

// startForecastLocked gives the forecast the initial sizes of the pools and the arrivals from before this leader's term.
func (s *session) startForecastLocked(list []accepted.Pool) {
	if s.forecastReady || s.machineCPU == 0 {
		return
	}
	s.forecastReady = true
	for _, p := range list {
		if !p.Standby {
			s.forecast.SetUsualCPU(p.Name, int64(s.engine.ledger.InitialSize(p.Name))*s.machineCPU)
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
		s.recordArrivalLocked(j, j.AcceptedMS)
	}
}

// recordArrivalLocked adds a job that arrived at atMS to the forecast. A job accepted before is a repeated submission and
// isn't counted again.
func (s *session) recordArrivalLocked(j *ledger.Job, atMS int64) {
	if !s.forecastReady || j == nil || j.Work == 0 || j.AcceptedMS < atMS {
		return
	}
	if q := s.engine.ledger.QueueOf(j); q != nil {
		s.forecast.RecordArrival(q.Pool, atMS, j.Work)
	}
}

// demandLocked returns the current and expected demand of each pool.
func (s *session) demandLocked(list []accepted.Pool) []pools.Pool {
	at := make(map[string]int, len(list))
	demand := make([]pools.Pool, len(list))
	lasting := make([]ledger.Resources, len(list))
	minServers := make([]int, len(list))
	for i, p := range list {
		at[p.Name] = i
		demand[i] = pools.Pool{Name: p.Name, Standby: p.Standby}
	}
	wall := time.Now().UnixMilli()
	total := make([]ledger.Resources, len(list))
	labels := make([]map[string]labelDemand, len(list))
	for _, j := range s.engine.ledger.Open() {
		q := s.engine.ledger.QueueOf(j)
		if q == nil || j.State.Final() {
			continue
		}
		if i, ok := at[q.Pool]; ok {
			n := jobDemand(j, q, wall)
			total[i] = total[i].Plus(n.finite).Plus(n.lasting)
			lasting[i] = lasting[i].Plus(n.lasting)
			minServers[i] = max(minServers[i], serversForSpread(j), n.gangServers)
			labels[i] = addLabels(labels[i], n.labels)
		}
	}
	outlooks := s.forecast.Update(wall)
	s.logOutlookLocked(outlooks)
	displaced := s.displacedLocked()
	for i := range demand {
		d := &demand[i]
		d.NeedCPU, d.Labels = s.cpuEquivalentLocked(total[i]), s.labelNeedsLocked(labels[i])
		if d.Standby {
			continue
		}
		o, lastingCPU := outlooks[d.Name], s.cpuEquivalentLocked(lasting[i])
		if o.RateCPU > 0 {
			d.ExpectedCPU = o.RateCPU + lastingCPU
		}
		least := max(idlePoolMachines, minServers[i]+min(maxDisplacedServers, displaced[d.Name]))
		d.PreferredMachines, d.MinMachines = least, least
		size := s.engine.ledger.InitialSize(d.Name)
		switch {
		case !s.forecastReady:
			d.PreferredMachines, d.MinMachines = max(least, size), max(least, size-1)
		case o.NoTurnYet:
			base := pools.MachinesFor(lastingCPU, s.machineCPU)
			d.PreferredMachines = max(least, min(size, base+int(firstTurnReserve*float64(size))))
			d.MinMachines = max(least, min(size-1, base+int(lendReserve*float64(size))))
		}
	}
	return demand
}

// displacedLocked returns, by pool, the servers with lasting tasks that have to go elsewhere: those whose machines have an upkeep
// before them or are in an evacuated data centre.
func (s *session) displacedLocked() map[string]int {
	n := make(map[string]int)
	for id, server := range s.fleet.All() {
		if s.engine.ledger.LastingOn(id) > 0 && (s.dueServers[id] || s.engine.ledger.Evacuated()[server.DataCentre]) {
			n[server.Pool]++
		}
	}
	return n
}

// logOutlookLocked logs the outlook of each pool for which it has changed.
func (s *session) logOutlookLocked(outlooks map[string]forecast.Outlook) {
	for pool, o := range outlooks {
		before := s.loggedOutlooks[pool]
		if o.InTurn == before.InTurn && o.NoTurnYet == before.NoTurnYet && (o.RateCPU > 0) == (before.RateCPU > 0) {
			continue
		}
		s.loggedOutlooks[pool] = o
		s.log.Info("outlook changed", "pool", pool, "in_turn", o.InTurn, "turn_open", o.NoTurnYet, "expected_cpu", o.RateCPU)
	}
}

// serversForSpread returns the minimum number of servers that a job's lasting tasks need under their Spread limits.
func serversForSpread(j *ledger.Job) (n int) {
	for i := range j.Steps {
		if step := &j.Steps[i]; step.Lasting && step.Spread > 0 {
			n = max(n, (step.Count+step.Spread-1)/step.Spread)
		}
	}
	return n
}

// cpuEquivalentLocked returns the CPU, in thousandths of a core, of the machines that an amount takes: the CPU itself, or the
// CPU of the machines that its memory takes if that is more.
func (s *session) cpuEquivalentLocked(r ledger.Resources) int64 {
	if s.machineMemMB == 0 {
		return r.CPU
	}
	return max(r.CPU, int64(float64(r.MemMB)/float64(s.machineMemMB)*float64(s.machineCPU)))
}

// resourceDemand is what the due tasks of a job ask for, separately for tasks that finish and for lasting tasks.
type resourceDemand struct {
	finite, lasting ledger.Resources
	// gangServers is the number of distinct servers that the members of a gang need under its Spread limit.
	gangServers int
	// labels is the part that needs a label, by label.
	labels map[string]labelDemand
}

// labelDemand is what tasks that need a label ask for, and the number of distinct servers that they need at least.
type labelDemand struct {
	use     ledger.Resources
	servers int
}

// add counts the due tasks of a step that need its label.
func (d *resourceDemand) add(st *ledger.Step, tasks int) {
	if tasks == 0 {
		return
	}
	servers := 1
	if st.Spread > 0 && (st.Gang || st.Lasting) {
		servers = (st.Count + st.Spread - 1) / st.Spread
	}
	if st.Gang {
		d.gangServers = max(d.gangServers, servers)
	}
	if st.Label != "" {
		d.labels = addLabels(d.labels, map[string]labelDemand{st.Label: {use: st.CapacityUse().Times(tasks), servers: servers}})
	}
}

// addLabels adds what further tasks ask for. It may change sum.
func addLabels(sum, more map[string]labelDemand) map[string]labelDemand {
	if sum == nil && len(more) > 0 {
		sum = make(map[string]labelDemand, len(more))
	}
	for label, d := range more {
		sum[label] = labelDemand{use: sum[label].use.Plus(d.use), servers: max(sum[label].servers, d.servers)}
	}
	return sum
}

// labelNeedsLocked returns what a pool needs for the labels of its tasks, sorted by label.
func (s *session) labelNeedsLocked(demand map[string]labelDemand) []pools.LabelNeed {
	var needs []pools.LabelNeed
	for _, label := range slices.Sorted(maps.Keys(demand)) {
		needs = append(needs, pools.LabelNeed{Label: label, CPU: s.cpuEquivalentLocked(demand[label].use), Machines: demand[label].servers})
	}
	return needs
}

// jobDemand returns what the due tasks of a job ask for now. Waiting tasks that can't be in time any more are laid out over
// lateWorkTime; all others count in full, because a machine takes about as long to come as their slack.
func jobDemand(j *ledger.Job, q *accepted.Queue, wallMS int64) (d resourceDemand) {
	j.EachRunnableStep(wallMS, func(occurrence int, o *ledger.Occurrence, step int) {
		st := &j.Steps[step]
		live, waiting := countTasks(o, st, step)
		use := st.CapacityUse()
		d.add(st, live+waiting)
		if st.Lasting {
			d.lasting = d.lasting.Plus(use.Times(live + waiting))
			return
		}
		d.finite = d.finite.Plus(use.Times(live))
		late := use.Times(waiting)
		// A gang starts as a whole or not at all.
		if !st.Gang && schedule.SlackMS(j, occurrence, step, q.SlackFactor, q.ObjectiveMS, wallMS) < 0 {
			share := float64(st.EstimateMS) / float64(st.EstimateMS+lateWorkTime.Milliseconds())
			late = ledger.Resources{CPU: int64(share * float64(late.CPU)), MemMB: int64(share * float64(late.MemMB))}
		}
		d.finite = d.finite.Plus(late)
	})
	return d
}

// countTasks returns how many tasks of a step have a live run and how many wait. o is nil if the occurrence hasn't begun.
func countTasks(o *ledger.Occurrence, st *ledger.Step, step int) (live, waiting int) {
	if o == nil {
		return 0, st.Count
	}
	for i := range o.Steps[step].Tasks {
		switch o.Steps[step].Tasks[i].Phase {
		case ledger.Live:
			live++
		case ledger.Waiting:
			waiting++
		}
	}
	return live, waiting
}
