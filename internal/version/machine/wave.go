package machine

import (
	"google.golang.org/protobuf/proto"

	"laburnumrouter/internal/version/roster"
	laburnumv1 "laburnumrouter/proto/laburnum/v1"
)

const (
	waveRunning = laburnumv1.WaveState_WAVE_STATE_RUNNING
	wavePaused  = laburnumv1.WaveState_WAVE_STATE_PAUSED
)

// setWave stores the progress of a wave. Only an operator can end a pause that an operator asked for.
func (s *commandApplier) setWave(w *laburnumv1.Wave) {
	current := s.State.Waves[w.GetName()]
	if current.GetState() == wavePaused && current.ByOperator && !w.GetByOperator() {
		s.refuse("wave %s was paused by an operator, who alone resumes it", w.GetName())
		return
	}
	to := proto.Clone(w).(*laburnumv1.Wave)
	if to.State != wavePaused {
		to.ByOperator = false
		to.PausedUnix = 0
	} else if current.GetState() != wavePaused {
		to.PausedUnix = s.cmd.AtUnixMs / 1000
	}
	s.applyChange(&laburnumv1.Change{Kind: &laburnumv1.Change_Wave{Wave: to}})
	if current.GetState() != to.State || current.GetReason() != to.Reason {
		s.recordDecision("wave/"+to.Name, waveAction(to.State), to.Reason)
	}
}

func waveAction(state laburnumv1.WaveState) string {
	switch state {
	case waveRunning:
		return "running"
	case wavePaused:
		return "paused"
	}
	return "done"
}

// verifyWaveDrain checks that the wave may take an instance out of service: it runs, the pool and the time match its
// plan, the plan's MaxStep is not exceeded, and no other data centre has instances out for maintenance.
func (s *commandApplier) verifyWaveDrain(to *laburnumv1.Assignment) error {
	w, plan := s.State.Waves[to.Wave], s.State.Maintenance[to.Wave]
	if plan == nil || w.GetState() != waveRunning {
		return Error.New("wave %s does not run", to.Wave)
	}
	if plan.Pool != "" && plan.Pool != to.Pool {
		return Error.New("wave %s is about pool %s, not %s", to.Wave, plan.Pool, to.Pool)
	}
	now := s.cmd.AtUnixMs / 1000
	if now < plan.StartUnix || now >= plan.EndUnix {
		return Error.New("wave %s is outside its window", to.Wave)
	}
	outCount := uint32(1)
	for _, a := range s.Roster.OutOfService() {
		if a.Wave == "" {
			continue
		}
		if a.DataCentre != to.DataCentre {
			return Error.New("data centre %s has instances out for maintenance", a.DataCentre)
		}
		if a.Wave == to.Wave {
			outCount++
		}
	}
	if plan.MaxStep != 0 && outCount > plan.MaxStep {
		return Error.New("wave %s would have %d instances out, its step is %d", to.Wave, outCount, plan.MaxStep)
	}
	return nil
}

// rebuildRoster builds the roster from the assignments of a restored state.
func (m *Machine) rebuildRoster() { m.Roster = roster.FromAssignments(m.State.Assignments) }
