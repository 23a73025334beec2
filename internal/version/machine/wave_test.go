package machine

import (
	"testing"

	"github.com/shoenig/test/must"

	laburnumv1 "laburnumrouter/proto/laburnum/v1"
)

// waveFixture returns a fixture with four instances of pool a in two data centres, one instance of pool b, and a
// maintenance plan for pool a whose window is from second 100 to second 200.
func waveFixture(t *testing.T) *fixture {
	t.Helper()
	f := newFixture()
	cfg := &laburnumv1.Configuration{
		SheetNumber: 1,
		Pools:       []*laburnumv1.Pool{{Name: "a", Service: "s", Instances: 6}, {Name: "b", Service: "s", Instances: 1}},
		Maintenance: []*laburnumv1.Maintenance{{Name: "w", Pool: "a", StartUnix: 100, EndUnix: 200, MaxStep: 2}},
	}
	f.command(150, &laburnumv1.Command{Kind: &laburnumv1.Command_ApplySheet{ApplySheet: &laburnumv1.ApplySheet{Configuration: cfg}}})
	for id, dc := range map[string]string{"i1": "dc1", "i2": "dc1", "i3": "dc1", "i4": "dc2"} {
		must.True(t, f.assign(&laburnumv1.Assignment{Instance: id, Pool: "a", DataCentre: dc, State: assigned}))
	}
	must.True(t, f.assign(&laburnumv1.Assignment{Instance: "i5", Pool: "b", DataCentre: "dc1", State: assigned}))
	return f
}

func (f *fixture) command(atUnix int64, cmd *laburnumv1.Command) *laburnumv1.CommandResult {
	f.index++
	cmd.AtUnixMs = atUnix * 1000
	r, _ := f.Apply(f.index, cmd)
	return r
}

func (f *fixture) setWaveState(state laburnumv1.WaveState, byOperator bool) bool {
	w := &laburnumv1.Wave{Name: "w", State: state, ByOperator: byOperator}
	return !f.command(150, &laburnumv1.Command{Kind: &laburnumv1.Command_Wave{Wave: w}}).Conflict
}

// drainForWave drains an instance for wave w and returns the reason if that is refused, else the empty string.
func (f *fixture) drainForWave(atUnix int64, id string) string {
	a := f.State.Assignments[id]
	to := &laburnumv1.Assignment{Instance: id, Pool: a.Pool, DataCentre: a.DataCentre, Wave: "w", State: draining}
	plan := &laburnumv1.AssignmentPlan{Steps: []*laburnumv1.AssignmentStep{{ExpectedEpoch: a.Epoch, To: to}}}
	return f.command(atUnix, &laburnumv1.Command{Kind: &laburnumv1.Command_Assignments{Assignments: plan}}).Reason
}

func TestWaveDrainIsVerified(t *testing.T) {
	f := waveFixture(t)
	must.StrContains(t, f.drainForWave(150, "i1"), "does not run")
	must.True(t, f.setWaveState(waveRunning, false))
	must.StrContains(t, f.drainForWave(99, "i1"), "window")
	must.StrContains(t, f.drainForWave(200, "i1"), "window")
	must.StrContains(t, f.drainForWave(150, "i5"), "about pool")
	must.Eq(t, "", f.drainForWave(150, "i1"))
	must.StrContains(t, f.drainForWave(150, "i4"), "data centre")
	must.Eq(t, "", f.drainForWave(150, "i2"))
	must.StrContains(t, f.drainForWave(150, "i3"), "its step is 2")
	must.True(t, f.setWaveState(wavePaused, true))
	must.StrContains(t, f.drainForWave(150, "i3"), "does not run")
}

func TestOnlyOperatorEndsOperatorPause(t *testing.T) {
	f := waveFixture(t)
	must.True(t, f.setWaveState(waveRunning, false))
	must.True(t, f.setWaveState(wavePaused, true))
	must.False(t, f.setWaveState(waveRunning, false))
	must.False(t, f.setWaveState(wavePaused, false))
	must.True(t, f.State.Waves["w"].ByOperator)
	must.True(t, f.setWaveState(waveRunning, true))
	must.True(t, f.setWaveState(wavePaused, false))
	must.True(t, f.setWaveState(waveRunning, false))
}

func TestMaintenanceNeedsReboot(t *testing.T) {
	f := waveFixture(t)
	must.True(t, f.setWaveState(waveRunning, false))
	back := &laburnumv1.Assignment{Instance: "i1", Pool: "a", DataCentre: "dc1", State: assigned, MaintainedUnix: 150, Incarnation: 7}
	must.False(t, f.assign(back)) // never drained
	must.Eq(t, "", f.drainForWave(150, "i1"))
	idle := &laburnumv1.Assignment{Instance: "i1", Pool: "a", DataCentre: "dc1", State: released, Wave: "w", Incarnation: 7}
	must.True(t, f.assign(idle))
	must.False(t, f.assign(back)) // the same incarnation
	back.Incarnation = 8
	must.True(t, f.assign(back))
}
