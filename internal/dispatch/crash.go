package dispatch

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"laburnumrouter/internal/process/boottime"
	"laburnumrouter/internal/request/fleet"
	"laburnumrouter/internal/request/ledger"
	"laburnumrouter/internal/request/schedule"
)

// maxLoggedRuns limits the runs that are named in the log line about the end of a backend server.
const maxLoggedRuns = 8

// newestRunsLocked describes the newest live runs of a backend server for the log: task, run, the time since it was ordered,
// and the state of its order.
func (s *session) newestRunsLocked(serverID string) []string {
	live := s.engine.ledger.LiveOn(serverID)
	ids := make([]ledger.TaskID, 0, len(live))
	for id := range live {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, func(a, b ledger.TaskID) int {
		return cmp.Or(cmp.Compare(live[b].OrderedMS, live[a].OrderedMS), strings.Compare(a.String(), b.String()))
	})
	nowMS := time.Now().UnixMilli()
	var list []string
	for _, id := range ids[:min(len(ids), maxLoggedRuns)] {
		t, state := live[id], "inherited"
		if o := s.orders[runKey{id, t.Run}]; o != nil {
			state = o.state.String()
		}
		list = append(list, fmt.Sprintf("%v run %d, %d ms, %s", id, t.Run, nowMS-t.OrderedMS, state))
	}
	return list
}

const (
	// crashWindowMS is how long before the newest run on a server that crashed a run may have been ordered to be suspected of the
	// crash. A task that crashes servers does so as it starts, and the server's failure to answer is noticed within callTimeout.
	crashWindowMS = schedule.ProbationMS
	// inheritedWindowMS is the same bound for runs of which only the order is known. The earlier leader may have ordered others
	// until it noticed that the server was silent.
	inheritedWindowMS = crashWindowMS + int64((holdWait+callTimeout)/time.Millisecond)
	// survivedTime and unrelatedTime are how long a run must have worked for its task to be an unlikely cause of a crash, and none.
	survivedTime  = schedule.ProbationMS * time.Millisecond
	unrelatedTime = 5 * time.Second
)

// recordCrashLocked records, for each live run of an incarnation that has ended, what that says about its task. The ends of
// these runs carry it. last is what was known of the incarnation. lapsed is set if it may be cut off instead, so that its runs
// end because their leases have lapsed; then only those that it may have ended with count.
func (s *session) recordCrashLocked(last *fleet.Server, lapsed bool) {
	if last == nil || last.Draining || last.Left {
		return // its end was announced or ordered
	}
	runs, newestMS := s.runsOfLocked(last)
	suspects := make(map[string]bool) // by job
	for id, t := range runs {
		key := runKey{id, t.Run}
		evidence := crashEvidence(s.orders[key], last.AnsweredAt, newestMS-t.OrderedMS)
		if evidence == ledger.CrashSuspected && s.mayHaveEndedLocked(id, s.orders[key], last) {
			evidence = ledger.CrashPossible
		}
		if evidence == ledger.CrashSuspected {
			suspects[id.Job] = true
		}
		if evidence != "" && !(lapsed && (evidence == ledger.CrashPossible || evidence == ledger.CrashUnrelated)) {
			s.crashes[key] = evidence
		}
	}
	if silent := last.FailedCalls > 0 && !last.ConnectionFailed; silent || len(suspects) > 1 {
		s.weakenSuspicionsLocked(runs, silent && !lapsed)
	}
}

// mayHaveEndedLocked reports whether a run may have ended before its server crashed: it had, by its estimate, up to twice as much time as it
// takes. Its report is lost with the server.
func (s *session) mayHaveEndedLocked(id ledger.TaskID, o *order, last *fleet.Server) bool {
	j, _ := s.engine.ledger.Task(id)
	step := &j.Steps[id.Step]
	if step.Lasting || step.EstimateMS <= 0 {
		return false
	}
	crashed := boottime.Now() // at the latest
	if last.FailedCalls > 0 {
		crashed = last.FailedSince
	}
	return 2*(crashed-o.since) >= time.Duration(step.EstimateMS)*time.Millisecond
}

// weakenSuspicionsLocked weakens the evidence against runs that are suspected of a crash but may not have caused it. With several
// jobs among them, it is shared. A server that was silent for a while may have been cut off before it crashed: the run isn't known
// to have been at work then, and may have ended as done, so that its task is a possible cause, and no suspect.
func (s *session) weakenSuspicionsLocked(runs map[ledger.TaskID]*ledger.Task, cutOff bool) {
	weaker := ledger.CrashShared
	if cutOff {
		weaker = ledger.CrashPossible
	}
	for id, t := range runs {
		if key := (runKey{id, t.Run}); s.crashes[key] == ledger.CrashSuspected {
			s.crashes[key] = weaker
		}
	}
}

// runsOfLocked returns the live runs of an incarnation, and when the newest of those was ordered that may have begun.
func (s *session) runsOfLocked(server *fleet.Server) (runs map[ledger.TaskID]*ledger.Task, newestMS int64) {
	runs = make(map[ledger.TaskID]*ledger.Task)
	for id, t := range s.engine.ledger.LiveOn(server.ID) {
		if t.Born != 0 && t.Born != server.Born {
			continue
		}
		runs[id] = t
		if o := s.orders[runKey{id, t.Run}]; o == nil || o.state == orderTaken {
			newestMS = max(newestMS, t.OrderedMS)
		}
	}
	return runs, newestMS
}

// crashEvidence returns what the end of a server that last answered at answeredAt says about a task that had a run there,
// regardless of the other runs there. o is nil if this leader has no order or report of the run; olderMS is how much earlier
// than the newest run it was ordered.
func crashEvidence(o *order, answeredAt time.Duration, olderMS int64) ledger.CrashEvidence {
	switch {
	case o == nil && olderMS <= inheritedWindowMS:
		return ledger.CrashUnclear // an earlier leader committed the start, and may not have sent the order
	case o == nil:
		return ""
	case o.state != orderTaken:
		return ledger.CrashUnclear
	}
	switch worked := answeredAt - o.since; {
	case worked >= unrelatedTime:
		return ledger.CrashUnrelated
	case worked >= survivedTime || olderMS > crashWindowMS:
		return ledger.CrashPossible
	}
	return ledger.CrashSuspected
}

// crashOfLocked returns the evidence that the end of a run carries.
func (s *session) crashOfLocked(id ledger.TaskID, run int) ledger.CrashEvidence {
	if s.engine.ledger.Format < ledger.FormatCrashes {
		return "" // members of an earlier version would hold another state
	}
	return s.crashes[runKey{id, run}]
}

// logCrashesLocked logs the ends that tell something about their tasks, and the tasks that were given up.
func (s *session) logCrashesLocked(r *ledger.Result) {
	for _, e := range r.Ended {
		if e.Crash == "" {
			continue
		}
		var counted ledger.Task
		if _, t := s.engine.ledger.Task(e.Task); t != nil {
			counted = *t
		}
		s.stats.crashed.Inc(1)
		s.log.Info("server crashed under a task", "task", e.Task, "run", e.Run, "server", e.Worker, "end", e.How, "evidence", e.Crash,
			"suspicions", counted.Suspicions, "crashes", counted.Crashes, "unclear", counted.UnclearCrashes)
	}
	for _, g := range r.GivenUp {
		s.stats.givenUp.Inc(1)
		s.log.Warn("task is given up: servers crashed under it", "task", g.Task, "suspicions", g.Suspicions, "crashes", g.Crashes, "unclear", g.Unclear)
	}
}
