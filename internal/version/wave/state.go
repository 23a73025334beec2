package wave

import (
	"fmt"
	"slices"
	"strings"

	"google.golang.org/protobuf/proto"

	"laburnumrouter/internal/version/roster"
	laburnumv1 "laburnumrouter/proto/laburnum/v1"
)

// nextState returns the wave that should be recorded for a plan now.
func (pl *planner) nextState(plan *laburnumv1.Maintenance, current *laburnumv1.Wave, p *progress) *laburnumv1.Wave {
	next := &laburnumv1.Wave{Name: plan.Name, State: running, Reason: "the window opened", StartedUnix: pl.Now.Unix()}
	if current != nil && (current.StartedUnix >= plan.StartUnix || current.ByOperator) {
		next = proto.Clone(current).(*laburnumv1.Wave)
	}
	next.Total = uint32(p.total)
	next.Done = uint32(p.total - len(p.due) - p.outOfService)
	next.Overdue = p.overdue
	switch {
	case next.ByOperator:
	case len(p.due) == 0 && p.outOfService == 0:
		next.State, next.Reason = done, fmt.Sprintf("all %d instances are maintained", p.total)
	case pl.Now.Unix() >= plan.EndUnix:
		next.State, next.Reason = paused, fmt.Sprintf("the window closed with %d instances due", len(p.due))
	default:
		pl.updateForFailures(plan, next)
	}
	return next
}

// updateForFailures pauses a wave if too many instances of one rack, of those already maintained or of the whole plan
// have failed recently, and resumes it once the failures are older than Policy.QuietFor.
func (pl *planner) updateForFailures(plan *laburnumv1.Maintenance, w *laburnumv1.Wave) {
	reason := pl.pauseReason(plan, int(w.Total))
	switch {
	case reason != "":
		w.State, w.Reason = paused, reason
	case w.State != running:
		w.State, w.Reason = running, "no further failures for "+pl.policy.QuietFor.String()
	}
}

// pauseReason returns why the recent failures are a reason to pause the wave, or the empty string. Failures are
// instances that were lost or restarted without a plan, and instances that did not come back from a reboot.
func (pl *planner) pauseReason(plan *laburnumv1.Maintenance, total int) string {
	racks := make(map[roster.Domain]int)
	failures := 0
	var maintained []string
	for _, pool := range pl.poolsOf(plan) {
		for id, a := range pl.Roster.Members(pool) {
			if !pl.failedRecently(id, a) {
				continue
			}
			failures++
			racks[roster.DomainOf(a)]++
			if a.MaintainedUnix >= plan.StartUnix || a.Wave == plan.Name {
				maintained = append(maintained, id)
			}
		}
	}
	for domain, n := range racks {
		if n >= pl.policy.PauseFailures {
			return fmt.Sprintf("%d instances of rack %s failed", n, domain.Rack)
		}
	}
	if len(maintained) >= pl.policy.PauseFailures {
		slices.Sort(maintained)
		return "instances failed after their maintenance: " + strings.Join(maintained, ", ")
	}
	if bound := max(pl.policy.PauseFailures, total/instancesPerFailure); failures >= bound {
		return fmt.Sprintf("%d instances failed within %s", failures, pl.policy.QuietFor)
	}
	return ""
}

// instancesPerFailure sets how many unrelated failures pause a wave: one per instancesPerFailure instances of its plan,
// but no fewer than Policy.PauseFailures.
const instancesPerFailure = 500

// failedRecently reports whether an instance was lost or restarted without a plan within Policy.QuietFor, or has not
// come back from a reboot within Policy.RebootBound.
func (pl *planner) failedRecently(id string, a *laburnumv1.Assignment) bool {
	i := pl.Fleet.Instances[id]
	if i == nil {
		return false // this process has received no announcement yet: unavailable, but not a recent failure
	}
	if a.State == released {
		since := pl.Now.UnixMilli() - a.SinceUnixMs
		return a.Wave != "" && since > pl.policy.RebootBound.Milliseconds()
	}
	lost := !i.Heard(pl.Now) && pl.Now.Sub(i.HeardAt) < pl.policy.QuietFor
	plannedRestart := i.View.Incarnation == a.Incarnation
	restarted := !i.RestartedAt.IsZero() && pl.Now.Sub(i.RestartedAt) < pl.policy.QuietFor && !plannedRestart
	return lost || restarted
}

// WithOperatorState returns a copy of current that an operator has paused or resumed.
func WithOperatorState(current *laburnumv1.Wave, pause bool, by string) *laburnumv1.Wave {
	next := proto.Clone(current).(*laburnumv1.Wave)
	next.ByOperator = true
	next.State, next.Reason = running, "resumed by "+by
	if pause {
		next.State, next.Reason = paused, "paused by "+by
	}
	return next
}
