package control

import (
	"context"
	"time"

	"laburnumrouter/internal/version/machine"
	"laburnumrouter/internal/version/state"
	laburnumv1 "laburnumrouter/proto/laburnum/v1"
)

// withdrawalInterval is the interval between attempts to commit withdrawals that were accepted without a quorum.
const withdrawalInterval = time.Second

// reportServer implements ReportService, to which entries report.
type reportServer struct {
	control *Control
}

// Report implements ReportService.
func (s *reportServer) Report(_ context.Context, req *laburnumv1.ReportRequest) (*laburnumv1.ReportResponse, error) {
	c := s.control
	for _, w := range req.Withdrawals {
		if c.store.InvalidateKey(w) {
			c.log.Info("key withdrawn", "by", w.By, "heard_from", req.Entry)
		}
	}
	status := c.replica.Status()
	return &laburnumv1.ReportResponse{
		Leader:         status.Leader,
		CommittedIndex: status.Committed,
		Withdrawals:    c.store.PendingWithdrawals(),
		Cursor:         c.fleet.applyReport(req, c.now()),
	}, nil
}

// quorumAge returns the time since this instance last knew that the log had a quorum.
func (c *Control) quorumAge() time.Duration {
	now := c.now()
	if c.replica.Status().QuorumAlive {
		c.quorumContact.Seen(now)
	}
	return c.quorumContact.Age(now)
}

// withdrawalLoop commits withdrawals that were accepted while the log had no quorum.
func (c *Control) withdrawalLoop(ctx context.Context) error {
	ticker := time.NewTicker(withdrawalInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			c.commitWithdrawals(ctx)
		case <-ctx.Done():
			return nil
		}
	}
}

func (c *Control) commitWithdrawals(ctx context.Context) {
	if !c.replica.Status().IsLeader {
		return
	}
	for _, w := range c.store.PendingWithdrawals() {
		if c.withdrawn(w) {
			continue
		}
		ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
		_, err := c.propose(ctx, &laburnumv1.Command{By: w.By, Kind: &laburnumv1.Command_WithdrawKey{WithdrawKey: w}})
		cancel()
		if err != nil {
			c.log.Warn("withdrawal not committed yet", "error", err)
			return
		}
	}
}

// withdrawn reports whether the withdrawal has been committed to the log.
func (c *Control) withdrawn(w *laburnumv1.KeyWithdrawal) bool {
	known := false
	c.machine.read(func(m *machine.Machine) {
		digest, _ := state.DigestOf(w.Sha256)
		known = m.State.Withdrawn[digest] != nil
	})
	return known
}
