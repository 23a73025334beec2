package dispatch

import (
	"context"
	"time"

	"laburnumrouter/internal/process/boottime"
	"laburnumrouter/internal/request/ledger"
	"laburnumrouter/internal/request/pacing"
)

// updatePacesLocked throttles the tasks that use spare capacity (Fills) on a server while they slow down its serving
// tasks, and restores their speed afterwards.
func (s *session) updatePacesLocked(serverID string, r *HoldReport, now time.Duration) {
	var serving []pacing.Serving
	var fills []RunningTask
	for _, row := range r.Running {
		j, t := s.engine.ledger.Task(row.Task)
		if t == nil || t.Phase != ledger.Live || t.Run != row.Run || t.Worker != serverID {
			continue
		}
		switch step := &j.Steps[row.Task.Step]; {
		case step.Fills:
			fills = append(fills, row)
		case step.TargetMS > 0:
			serving = append(serving, pacing.Serving{TailLatencyMS: row.Figure, TargetMS: step.TargetMS})
		}
	}
	if len(fills) == 0 {
		delete(s.pacers, serverID)
		return
	}
	pacer := s.pacers[serverID]
	if pacer == nil {
		pacer = s.newPacerLocked(fills)
		s.pacers[serverID] = pacer
	}
	percent := pacer.Update(now, serving, s.paceAppliedAtLocked(fills, pacer.Percent()))
	if !pacer.Known() {
		return
	}
	for _, row := range fills {
		key := runKey{row.Task, row.Run}
		if sent, ok := s.sentPaces[key]; ok && sent.percent == percent || !ok && percent == pacing.FullPercent {
			continue
		}
		s.sentPaces[key] = sentPace{percent: percent}
		s.log.Info("task that fills is paced", "task", row.Task, "run", row.Run, "server", serverID, "percent", percent, "serving", serving)
		s.spawn(func() { s.sendPace(serverID, key, percent) })
	}
}

// newPacerLocked returns a pacer for filler tasks that are reported on a server.
func (s *session) newPacerLocked(fills []RunningTask) *pacing.Pacer {
	for _, row := range fills {
		if s.sentPaces[runKey{row.Task, row.Run}].percent == unknownPace {
			return pacing.NewInherited()
		}
	}
	return &pacing.Pacer{}
}

// inheritPacesLocked records that an earlier leader may have throttled the filler tasks that run on a server.
func (s *session) inheritPacesLocked(serverID string) {
	for id, t := range s.engine.ledger.LiveOn(serverID) {
		if s.engine.ledger.Job(id.Job).Steps[id.Step].Fills {
			s.sentPaces[runKey{id, t.Run}] = sentPace{percent: unknownPace}
		}
	}
}

// paceAppliedAtLocked returns when the last of some filler tasks was acknowledged to be paced to percent; 0 if one wasn't.
func (s *session) paceAppliedAtLocked(fills []RunningTask, percent int) (at time.Duration) {
	for _, row := range fills {
		sent := s.sentPaces[runKey{row.Task, row.Run}]
		if sent.percent != percent || sent.acknowledgedAt == 0 {
			return 0
		}
		at = max(at, sent.acknowledgedAt)
	}
	return at
}

// sendPace sends one pace order. One that failed is sent again after the next report.
func (s *session) sendPace(serverID string, key runKey, percent int) {
	err := s.trySendPace(serverID, key, percent)
	if err != nil {
		s.log.Warn("pace order failed; it is sent again after the next report", "task", key.task, "run", key.run, "server", serverID, "error", err)
	}
	s.engine.mu.Lock()
	defer s.engine.mu.Unlock()
	sent, ok := s.sentPaces[key]
	switch {
	case !ok || sent.percent != percent:
		// The run has ended, or another pace was sent since.
	case err != nil:
		s.sentPaces[key] = sentPace{percent: unknownPace}
	default:
		s.sentPaces[key] = sentPace{percent: percent, acknowledgedAt: boottime.Now()}
	}
}

func (s *session) trySendPace(serverID string, key runKey, percent int) error {
	s.engine.mu.Lock()
	server, token := s.fleet.Get(serverID), s.tokenLocked(serverID)
	s.engine.mu.Unlock()
	switch {
	case server == nil:
		return Error.New("the server is not known any more")
	case !s.mayOrder():
		return ErrNotLeader
	}
	ctx, cancel := context.WithTimeout(s.ctx, callTimeout)
	defer cancel()
	o := PaceOrder{Task: key.task, Run: key.run, Percent: percent, Fence: token}
	return s.servers.Pace(ctx, Target{ID: serverID, Address: server.Address}, o)
}

// sentPace is the pace last sent to a task.
type sentPace struct {
	percent int
	// acknowledgedAt is when the server acknowledged it; 0 if it hasn't.
	acknowledgedAt time.Duration
}

// unknownPace marks a task whose pace isn't known: an order may or may not have been carried out, or an earlier leader may
// have sent one.
const unknownPace = -1
