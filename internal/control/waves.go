package control

import (
	"context"
	"time"

	"connectrpc.com/connect"
	"golang.org/x/sync/errgroup"

	"laburnumrouter/internal/connection/platform"
	"laburnumrouter/internal/version/capacity"
	"laburnumrouter/internal/version/machine"
	"laburnumrouter/internal/version/wave"
	laburnumv1 "laburnumrouter/proto/laburnum/v1"
)

const (
	wavePlanInterval = 500 * time.Millisecond
	// maxRebootCalls limits the concurrent reboot requests to platforms.
	maxRebootCalls = 16
)

func platformClients(s *Settings) map[string]platform.Client {
	clients := make(map[string]platform.Client, len(s.Platforms))
	for _, p := range s.Platforms {
		clients[p.DataCentre] = platform.NewHTTPClient(p.Address, p.Key.Reveal())
	}
	return clients
}

// waveLoop runs the maintenance waves that the sheet plans: it commits their progress and the moves of instances, and
// requests reboots.
func (c *Control) waveLoop(ctx context.Context) error {
	policy := c.settings.Wave.policy()
	return c.whileLeading(ctx, wavePlanInterval, func(ctx context.Context) {
		var actions *wave.Actions
		moves := c.plan(c.now(), func(in *capacity.Input) *laburnumv1.AssignmentPlan {
			actions = wave.Plan(in, policy)
			return actions.Assignments
		})
		for _, w := range actions.Waves {
			c.commitWave(ctx, w)
		}
		c.commitMoves(ctx, moves)
		c.reboot(ctx, actions.Reboots)
	})
}

func (c *Control) commitWave(ctx context.Context, w *laburnumv1.Wave) {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	result, err := c.propose(ctx, &laburnumv1.Command{By: c.settings.Name, Kind: &laburnumv1.Command_Wave{Wave: w}})
	if err != nil {
		c.log.Warn("wave not committed", "wave", w.Name, "error", err)
		return
	}
	if len(w.Overdue) > 0 {
		c.log.Warn("instances drain longer than the plan allows; their work is not stopped", "wave", w.Name, "instances", w.Overdue)
	}
	if result.Conflict {
		c.log.Debug("wave not changed", "wave", w.Name, "reason", result.Reason)
	}
}

// reboot requests reboots from the platforms. A request that fails is repeated with the next plan.
func (c *Control) reboot(ctx context.Context, list []wave.Reboot) {
	var group errgroup.Group
	group.SetLimit(maxRebootCalls)
	for _, r := range list {
		client := c.platforms[r.DataCentre]
		if client == nil {
			c.log.Error("no platform is set for the data centre", "data_centre", r.DataCentre, "instance", r.Instance)
			continue
		}
		group.Go(func() error {
			err := client.Reboot(ctx, r.Instance, r.ID)
			if err != nil {
				c.log.Warn("reboot not confirmed", "instance", r.Instance, "wave", r.Wave, "error", err)
				return nil
			}
			c.log.Debug("reboot requested", "instance", r.Instance, "wave", r.Wave, "id", r.ID)
			return nil
		})
	}
	_ = group.Wait()
}

// SetWave implements OperatorService.
func (o *operatorServer) SetWave(ctx context.Context, req *laburnumv1.SetWaveRequest) (*laburnumv1.SetWaveResponse, error) {
	if err := o.control.replica.ReadIndex(ctx); err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	var next *laburnumv1.Wave
	o.control.machine.read(func(m *machine.Machine) {
		if current := m.State.Waves[req.Name]; current != nil {
			next = wave.WithOperatorState(current, req.Pause, req.By)
		}
	})
	if next == nil {
		return nil, connect.NewError(connect.CodeNotFound, Error.New("wave %q has not begun", req.Name))
	}
	result, err := o.propose(ctx, &laburnumv1.Command{By: req.By, Kind: &laburnumv1.Command_Wave{Wave: next}})
	if err != nil {
		return nil, err
	}
	if result.Conflict {
		return nil, connect.NewError(connect.CodeFailedPrecondition, Error.New("%s", result.Reason))
	}
	return &laburnumv1.SetWaveResponse{Wave: next}, nil
}
