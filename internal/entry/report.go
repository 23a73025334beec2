package entry

import (
	"context"
	"sync"
	"time"

	"laburnumrouter/internal/connection/peer"
	"laburnumrouter/internal/process/directory"
	laburnumv1 "laburnumrouter/proto/laburnum/v1"
)

const (
	reportInterval = 500 * time.Millisecond
	// roundsPerIdleReport is the number of rounds for each report while leaderNeedsReport is false.
	roundsPerIdleReport = 2
	// roundsPerFollowerReport is the number of rounds for each report to the control instances that don't lead. They get
	// some reports so that they know the state of the fleet when they become the leader.
	roundsPerFollowerReport = 10
)

// reporter tracks which views each control instance has received.
type reporter struct {
	mu      sync.Mutex
	leader  string
	cursors map[string]*laburnumv1.ViewCursor
}

func newReporter() *reporter { return &reporter{cursors: make(map[string]*laburnumv1.ViewCursor)} }

func (r *reporter) cursor(control string) *laburnumv1.ViewCursor {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.cursors[control]
}

// currentLeader returns the name of the leading control instance as last reported, or "" if it is unknown.
func (r *reporter) currentLeader() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.leader
}

// recordAnswer records a control instance's answer to a report.
func (r *reporter) recordAnswer(control string, resp *laburnumv1.ReportResponse) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cursors[control] = resp.Cursor
	if resp.Leader != "" {
		r.leader = resp.Leader
	}
}

// recordFailure makes the next report to a control instance a full one. If that instance was the leader, the next
// reports go to all control instances.
func (r *reporter) recordFailure(control string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.cursors, control)
	if r.leader == control {
		r.leader = ""
	}
}

// due reports whether a control instance is sent a report in this round.
func (r *reporter) due(control string, round int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.leader == "" || r.leader == control || round%roundsPerFollowerReport == 0
}

// reportLoop reports what this entry knows to the control instances until ctx ends: often to the leader, seldom to the
// others.
func (e *Entry) reportLoop(ctx context.Context) error {
	round := 0
	return every(ctx, reportInterval, func() {
		if round%roundsPerIdleReport == 0 || e.leaderNeedsReport() {
			for _, p := range e.controls {
				if e.reporter.due(p.Name, round) {
					go e.sendReport(ctx, p)
				}
			}
		}
		round++
	})
}

// leaderNeedsReport reports whether the leader waits for what this entry knows: there are waiting requests,
// draining instances or withdrawals that are not committed.
func (e *Entry) leaderNeedsReport() bool {
	view := e.store.View()
	if len(view.OutOfService()) > 0 || len(e.store.PendingWithdrawals()) > 0 {
		return true
	}
	for pool := range view.Pools() {
		if e.queue.Waiting(pool) > 0 {
			return true
		}
	}
	return false
}

// report returns a summary of what this entry knows, for a control instance that has the views up to cursor.
func (e *Entry) report(cursor *laburnumv1.ViewCursor) *laburnumv1.ReportRequest {
	view := e.store.View()
	now := e.now()
	req := &laburnumv1.ReportRequest{
		Entry:        e.settings.Name,
		DataCentre:   e.settings.DataCentre,
		Incarnation:  e.members.Incarnation(),
		InForceIndex: view.Index,
		InForceSheet: view.SheetNumber,
		Withdrawals:  e.store.PendingWithdrawals(),
		QuorumAgeMs:  uint64(e.quorumContact.Age(now).Milliseconds()),
		Instances:    e.gossip.ownViews.Since(cursor, now, directory.ViewLifetime),

		RecordsSyncedEpoch: e.recorder.syncedEpoch.Load(),
	}
	for pool := range view.Pools() {
		if d := e.poolDemand(view, pool); d.Waiting+d.Running > 0 {
			req.Pools = append(req.Pools, d)
		}
	}
	req.Drained = e.drained(view)
	for workspace := range view.Workspaces() {
		if running := e.permits.Running(workspace); running > 0 {
			req.Teams = append(req.Teams, &laburnumv1.TeamUse{Team: workspace, Running: uint32(running)})
		}
	}
	return req
}

func (e *Entry) sendReport(ctx context.Context, p *peer.Peer) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	resp, err := p.Report.Report(ctx, e.report(e.reporter.cursor(p.Name)))
	if err != nil {
		e.log.Debug("report failed", "peer", p.Name, "error", err)
		e.reporter.recordFailure(p.Name)
		return
	}
	e.reporter.recordAnswer(p.Name, resp)
	e.applyWithdrawals(resp.Withdrawals)
}
