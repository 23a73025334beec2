package control

import (
	"context"
	"time"

	"laburnumrouter/internal/request/idempotency"
	"laburnumrouter/internal/version/observed"
	"laburnumrouter/internal/version/state"
	laburnumv1 "laburnumrouter/proto/laburnum/v1"
)

// recordGroupInterval is the interval at which the leader plans record groups: for each data centre, the entries that
// keep replicas of its idempotency records.
const recordGroupInterval = 250 * time.Millisecond

// recordGroupLoop updates the record group of each data centre to match the entries that report from it.
func (c *Control) recordGroupLoop(ctx context.Context) error {
	var term uint64
	var leadingSince time.Time // when this instance first planned in the current term
	return c.whileLeading(ctx, recordGroupInterval, func(ctx context.Context) {
		now := c.now()
		if t := c.replica.Status().Term; t != term {
			term, leadingSince = t, now
		}
		for _, g := range c.planRecordGroups(now, now.Sub(leadingSince)) {
			c.commitRecordGroup(ctx, g)
		}
	})
}

func (c *Control) planRecordGroups(now time.Time, leadingFor time.Duration) []*laburnumv1.RecordGroup {
	groups := make(map[string]*idempotency.GroupPlanner)
	c.fleet.read(func(f *observed.Fleet) {
		for _, e := range f.Entries {
			r := e.Report
			if groups[r.DataCentre] == nil {
				groups[r.DataCentre] = &idempotency.GroupPlanner{DataCentre: r.DataCentre, LeaderFor: leadingFor}
			}
			g := groups[r.DataCentre]
			g.Candidates = append(g.Candidates, idempotency.Candidate{
				Entry: r.Entry, Incarnation: r.Incarnation, SinceReport: min(now.Sub(e.At), leadingFor), SyncedEpoch: r.RecordsSyncedEpoch,
			})
		}
	})
	var plans []*laburnumv1.RecordGroup
	c.store.Read(func(s *state.State) {
		for name, g := range groups {
			g.Current = s.RecordGroups[name]
			if next := g.Plan(now); next != nil {
				plans = append(plans, next)
			}
		}
	})
	return plans
}

func (c *Control) commitRecordGroup(ctx context.Context, g *laburnumv1.RecordGroup) {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	cmd := &laburnumv1.Command{By: c.settings.Name, Kind: &laburnumv1.Command_RecordGroup{RecordGroup: g}}
	result, err := c.propose(ctx, cmd)
	c.log.Info("record group", "data_centre", g.DataCentre, "members", g.Members, "learners", g.Learners,
		"complete_since_unix_ms", g.CompleteSinceUnixMs, "error", err, "reason", result.GetReason())
}
