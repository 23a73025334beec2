package control

import (
	"context"
	"time"

	"laburnumrouter/internal/version/capacity"
	"laburnumrouter/internal/version/machine"
	"laburnumrouter/internal/version/observed"
	laburnumv1 "laburnumrouter/proto/laburnum/v1"
)

const (
	planInterval   = 500 * time.Millisecond
	proposeTimeout = 5 * time.Second
)

// planLoop plans and commits the moves of instances between pools that the sheet and the demand call for.
func (c *Control) planLoop(ctx context.Context) error {
	policy, _ := capacity.PolicyOf(c.settings.Capacity.Weighting) // the weighting was validated by Settings.Check
	forecast := capacity.NewForecast(policy)
	return c.whileLeading(ctx, planInterval, func(ctx context.Context) {
		now := c.now()
		c.fleet.expire(now)
		c.commitMoves(ctx, c.plan(now, capacity.PlanMoves))
		c.commitMoves(ctx, c.plan(now, func(in *capacity.Input) *laburnumv1.AssignmentPlan {
			return capacity.Rebalance(in, forecast, policy)
		}))
	})
}

// whileLeading calls f at an interval while this instance leads the log, until ctx ends.
func (c *Control) whileLeading(ctx context.Context, interval time.Duration, f func(context.Context)) error {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			if c.replica.Status().IsLeader {
				f(ctx)
			}
		case <-ctx.Done():
			return nil
		}
	}
}

// plan calls the planner f with the accepted state and the observed fleet while holding the locks of both.
func (c *Control) plan(now time.Time, f func(*capacity.Input) *laburnumv1.AssignmentPlan) *laburnumv1.AssignmentPlan {
	var plan *laburnumv1.AssignmentPlan
	c.fleet.read(func(fleet *observed.Fleet) {
		c.machine.read(func(m *machine.Machine) {
			plan = f(&capacity.Input{Now: now, State: m.State, Roster: m.Roster, Fleet: fleet, Tasks: m.Tasks})
		})
	})
	return plan
}

// commitMoves proposes the steps of a plan, if there are any.
func (c *Control) commitMoves(ctx context.Context, plan *laburnumv1.AssignmentPlan) {
	if len(plan.GetSteps()) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	cmd := &laburnumv1.Command{By: c.settings.Name, Kind: &laburnumv1.Command_Assignments{Assignments: plan}}
	result, err := c.propose(ctx, cmd)
	if err != nil {
		c.log.Warn("assignment plan not committed", "error", err)
		return
	}
	c.log.Debug("assignment plan committed", "steps", len(plan.Steps), "applied", result.Applied, "reason", result.Reason)
}
