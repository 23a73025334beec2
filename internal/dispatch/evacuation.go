package dispatch

import (
	"cmp"
	"slices"
	"strings"

	"laburnumrouter/internal/request/ledger"
	"laburnumrouter/internal/request/schedule"
)

// maxDataCentreBytes bounds the length of the name of a data centre, and with it the state: without known data centres any
// name is accepted.
const maxDataCentreBytes = 64

// orderEvacuation takes a data centre out of service or restores it. The reply follows the commit; from then on no start is
// committed or ordered there.
func (s *session) orderEvacuation(c *Call) (*Reply, error) {
	if c.Evacuation == nil || c.Evacuation.DataCentre == "" || len(c.Evacuation.DataCentre) > maxDataCentreBytes || c.RequestID == "" {
		return &Reply{Outcome: Invalid, Reason: "the order names no data centre"}, nil
	}
	o := *c.Evacuation
	o.RequestID = c.RequestID
	log := s.log.With("request", o.RequestID, "data_centre", o.DataCentre, "evacuate", o.Evacuate)
	if known, ok := s.knowsDataCentre(o.DataCentre); !ok {
		log.Info("evacuation decided", "verdict", Invalid, "known", known)
		return &Reply{Outcome: Invalid, Reason: "unknown data centre; known are " + strings.Join(known, ", ")}, nil
	}
	result, err := s.propose(&ledger.Command{Evacuation: &o})
	if err != nil {
		log.Warn("evacuation not committed in time; it may be committed later", "error", err)
		return nil, err
	}
	log.Info("evacuation decided", "verdict", result.Evacuation, "number", result.EvacuationNumber)
	if result.Evacuation != ledger.Accepted {
		return &Reply{Outcome: Unavailable, Reason: "there is a newer order for the data centre", NewestOrder: result.EvacuationNumber}, nil
	}
	return &Reply{Outcome: OK}, nil
}

// knowsDataCentre reports whether a data centre may be evacuated or restored, and returns the known ones: those of the
// settings and of known servers. A data centre with an earlier order can always be restored. If none is known, any may be
// evacuated.
func (s *session) knowsDataCentre(name string) (known []string, ok bool) {
	s.engine.mu.Lock()
	defer s.engine.mu.Unlock()
	known = slices.Clone(s.dataCentres)
	for _, server := range s.engine.ledger.KnownServers() {
		known = append(known, server.DataCentre)
	}
	for _, server := range s.fleet.All() {
		known = append(known, server.DataCentre)
	}
	slices.Sort(known)
	known = slices.DeleteFunc(slices.Compact(known), func(n string) bool { return n == "" })
	return known, len(known) == 0 || slices.Contains(known, name) || s.engine.ledger.Evacuation(name) != nil
}

// inEvacuatedLocked reports whether a server is in an evacuated data centre.
func (s *session) inEvacuatedLocked(serverID string) bool {
	server := s.fleet.Get(serverID)
	return server != nil && s.engine.ledger.Evacuated()[server.DataCentre]
}

// machineEvacuatedLocked reports whether a machine is in an evacuated data centre. The platform's list doesn't name the data
// centre of a machine, so it is taken from the server that the machine was last listed with.
func (s *session) machineEvacuatedLocked(m Machine) bool {
	if server := s.fleet.Get(m.Server); server != nil {
		s.machineDataCentre[m.Name] = server.DataCentre
	}
	return s.engine.ledger.Evacuated()[s.machineDataCentre[m.Name]]
}

// dropStartLocked records that the order of a committed start is not sent because its data centre is evacuated.
func (s *session) dropStartLocked(st ledger.Start) {
	s.stats.startsDroppedEvacuated.Inc(1)
	s.log.Info("start is not ordered: its data centre is evacuated", "task", st.Task, "run", st.Run, "server", st.Worker)
}

// countDroppedStarts counts the planned starts that were not committed because their data centres are evacuated.
func (s *session) countDroppedStarts(planned, committed []ledger.Start) {
	s.engine.mu.Lock()
	defer s.engine.mu.Unlock()
	dropped := 0
	for _, st := range planned {
		if s.inEvacuatedLocked(st.Worker) && !slices.Contains(committed, st) {
			dropped++
		}
	}
	if dropped > 0 {
		s.stats.startsDroppedEvacuated.Inc(int64(dropped))
		s.log.Info("starts are not committed: their data centres are evacuated", "starts", dropped)
	}
}

// moveLastingFromEvacuated stops lasting tasks in evacuated data centres if other servers have room for them, so that they
// start again there. Of each step it stops no more at a time than the step may miss, and one if the step sets no limit.
// Members of gangs are not stopped, because that ends the whole gang.
func (s *session) moveLastingFromEvacuated() {
	s.engine.mu.Lock()
	defer s.engine.mu.Unlock()
	stopping, candidates := s.lastingInEvacuatedLocked()
	if len(candidates) == 0 {
		return
	}
	free := schedule.NewFreeCapacity(s.planInputLocked())
	for _, id := range stopping {
		free.ReserveElsewhere(id) // it needs that capacity as soon as it has ended
	}
	s.reserveForWaitingLocked(candidates, free)
	for _, id := range candidates {
		j, t := s.engine.ledger.Task(id)
		limit := max(1, j.Steps[id.Step].MayMiss)
		if s.reportsFreshLocked(id, limit) && free.ReserveElsewhere(id) {
			s.stopWithinBudgetLocked(id, t, "its data centre is evacuated", limit)
		}
	}
}

// reserveForWaitingLocked reserves capacity for the tasks of the candidates' steps that have been stopped and wait for their
// next start.
func (s *session) reserveForWaitingLocked(candidates []ledger.TaskID, free *schedule.FreeCapacity) {
	done := make(map[ledger.TaskID]bool)
	for _, id := range candidates {
		if id.Index = 0; done[id] {
			continue
		}
		done[id] = true
		for id.Index = range s.engine.ledger.Job(id.Job).Steps[id.Step].Count {
			if _, t := s.engine.ledger.Task(id); t.Phase == ledger.Waiting {
				free.ReserveElsewhere(id)
			}
		}
	}
}

// lastingInEvacuatedLocked returns the lasting tasks that run in evacuated data centres, in a fixed order: those that are
// being stopped, and those that may be stopped. On a server that doesn't answer none may be: a stop could be carried out
// much later, when other tasks of the step are away.
func (s *session) lastingInEvacuatedLocked() (stopping, candidates []ledger.TaskID) {
	if len(s.engine.ledger.Evacuated()) == 0 {
		return nil, nil
	}
	for _, serverID := range s.engine.ledger.ServersWithRuns() {
		if !s.inEvacuatedLocked(serverID) {
			continue
		}
		server := s.fleet.Get(serverID)
		for id, t := range s.engine.ledger.LiveOn(serverID) {
			j := s.engine.ledger.Job(id.Job)
			step := &j.Steps[id.Step]
			switch {
			case !step.Lasting || step.Gang || j.State.Final() || !s.orderSentLocked(id, t):
			case s.orders[runKey{id, t.Run}].stopping:
				stopping = append(stopping, id)
			case server.Responsive():
				candidates = append(candidates, id)
			}
		}
	}
	slices.SortFunc(stopping, compareTasks)
	slices.SortFunc(candidates, compareTasks)
	return stopping, candidates
}

func compareTasks(a, b ledger.TaskID) int {
	return cmp.Or(strings.Compare(a.Job, b.Job), cmp.Compare(a.Occurrence, b.Occurrence), cmp.Compare(a.Step, b.Step), cmp.Compare(a.Index, b.Index))
}

// reportEvacuations updates the metric of evacuated data centres. Every instance reports what it has applied.
func (d *Dispatcher) reportEvacuations() {
	d.engine.mu.Lock()
	n := len(d.engine.ledger.Evacuated())
	d.engine.mu.Unlock()
	d.stats.evacuatedDataCentres.Update(float64(n))
}

// EvacuationView is an evacuated data centre.
type EvacuationView struct {
	DataCentre string
	SinceMS    int64
	// Servers counts its backend servers. Runs counts their live runs, Lasting those of lasting tasks.
	Servers, Runs, Lasting int
}

// evacuationViewsLocked returns the evacuated data centres by name.
func (s *session) evacuationViewsLocked() []EvacuationView {
	var views []EvacuationView
	for name := range s.engine.ledger.Evacuated() {
		v := EvacuationView{DataCentre: name, SinceMS: s.engine.ledger.Evacuation(name).SinceMS}
		for id, server := range s.fleet.All() {
			if server.DataCentre != name {
				continue
			}
			v.Servers++
			for task := range s.engine.ledger.LiveOn(id) {
				v.Runs++
				if s.engine.ledger.Job(task.Job).Steps[task.Step].Lasting {
					v.Lasting++
				}
			}
		}
		views = append(views, v)
	}
	slices.SortFunc(views, func(a, b EvacuationView) int { return strings.Compare(a.DataCentre, b.DataCentre) })
	return views
}
