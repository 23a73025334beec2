package control

import (
	"testing"

	"github.com/shoenig/test/must"
	"github.com/uber-go/tally/v4"

	laburnumv1 "laburnumrouter/proto/laburnum/v1"
)

func TestGaugesUsedByAlerts(t *testing.T) {
	scope := tally.NewTestScope("", nil)
	(&Control{}).setGauges(scope, &laburnumv1.StatusResponse{
		Node: "control-1", Leader: "control-1", HasQuorum: true, CommittedIndex: 7,
		DataCentres: []*laburnumv1.DataCentreStatus{{DataCentre: "dc1", InForceIndex: 5, AgeMs: 1500}},
		Pools:       []*laburnumv1.PoolStatus{{BudgetLeft: -1, Failed: 2}, {BudgetLeft: 0, Failed: 1}},
		Waves:       []*laburnumv1.Wave{{State: laburnumv1.WaveState_WAVE_STATE_PAUSED}, {State: laburnumv1.WaveState_WAVE_STATE_RUNNING}},
	})
	want := map[string]float64{
		"quorum+": 1, "leading+": 1, "committed_index+": 7, "pools_below_budget+": 1, "instances_failed+": 3, "waves_paused+": 1,
		"in_force_index+data_centre=dc1": 5, "report_age_seconds+data_centre=dc1": 1.5,
	}
	gauges := scope.Snapshot().Gauges()
	for name, value := range want {
		must.MapContainsKey(t, gauges, name)
		must.Eq(t, value, gauges[name].Value(), must.Sprint(name))
	}
}
