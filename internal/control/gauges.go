package control

import (
	"context"
	"time"

	"github.com/uber-go/tally/v4"

	laburnumv1 "laburnumrouter/proto/laburnum/v1"
)

// gaugeInterval is the interval at which the gauges are updated; it is close to a usual scrape interval.
const gaugeInterval = 10 * time.Second

// gaugeLoop updates the gauges that alerts are based on.
func (c *Control) gaugeLoop(ctx context.Context) error {
	ticker := time.NewTicker(gaugeInterval)
	defer ticker.Stop()
	for {
		c.setGauges(c.metrics.Scope(), c.status())
		setLogGauges(c.metrics.Scope().SubScope("log"), c.replica.Status())
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return nil
		}
	}
}

func (c *Control) setGauges(scope tally.Scope, s *laburnumv1.StatusResponse) {
	scope.Gauge("quorum").Update(boolValue(s.HasQuorum))
	scope.Gauge("leading").Update(boolValue(s.Leader == s.Node))
	scope.Gauge("committed_index").Update(float64(s.CommittedIndex))
	scope.Gauge("sheet_number").Update(float64(s.SheetNumber))
	for _, dc := range s.DataCentres {
		tagged := scope.Tagged(map[string]string{"data_centre": dc.DataCentre})
		tagged.Gauge("in_force_index").Update(float64(dc.InForceIndex))
		tagged.Gauge("report_age_seconds").Update(float64(dc.AgeMs) / 1000)
		tagged.Gauge("entries_reporting").Update(float64(dc.Entries))
	}
	scope.Gauge("pools_below_budget").Update(float64(poolsBelowBudget(s)))
	scope.Gauge("instances_failed").Update(float64(instancesFailed(s)))
	scope.Gauge("waves_paused").Update(float64(wavesPaused(s)))
	if c.certificates != nil {
		scope.Gauge("certificate_expiry_unix").Update(float64(c.certificates.Expires().Unix()))
	}
}

func boolValue(set bool) float64 {
	if set {
		return 1
	}
	return 0
}

func poolsBelowBudget(s *laburnumv1.StatusResponse) int {
	n := 0
	for _, p := range s.Pools {
		if p.BudgetLeft < 0 {
			n++
		}
	}
	return n
}

func instancesFailed(s *laburnumv1.StatusResponse) uint32 {
	var n uint32
	for _, p := range s.Pools {
		n += p.Failed
	}
	return n
}

func wavesPaused(s *laburnumv1.StatusResponse) int {
	n := 0
	for _, w := range s.Waves {
		if w.State == laburnumv1.WaveState_WAVE_STATE_PAUSED {
			n++
		}
	}
	return n
}
