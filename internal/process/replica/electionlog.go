package replica

import (
	"slices"
	"time"

	"laburnumrouter/internal/process/replica/core"
)

// electionLogInterval is the time after which an election or refusal is logged that equals the last one but for its term.
const electionLogInterval = 5 * time.Second

// electionLog logs elections and refused votes, but not those that repeat the last one. While no quorum answers, each replica
// campaigns about once a second.
type electionLog struct {
	election   core.Election
	electionAt time.Time
	omitted    int // elections since electionAt that were not logged
	refusals   map[string]loggedRefusal
}

type loggedRefusal struct {
	reason core.RefusalReason
	at     time.Time
}

// logElections logs what the core reports about elections.
func (n *Node) logElections(r core.Ready) {
	now := time.Now()
	for _, e := range r.Elections {
		l := &n.electionLog
		if !e.Won && sameResult(e, l.election) && now.Sub(l.electionAt) < electionLogInterval {
			l.omitted++
			continue
		}
		n.opts.Log.Info("election ended", "term", e.Term, "pre_vote", e.Pre, "won", e.Won, "voters", e.Voters, "granted", e.Granted,
			"refused", e.Refused, "omitted", l.omitted)
		l.election, l.electionAt, l.omitted = e, now, 0
	}
	for _, refusal := range r.Refusals {
		last := n.electionLog.refusals[refusal.Candidate]
		if last.reason == refusal.Reason && now.Sub(last.at) < electionLogInterval {
			continue
		}
		if n.electionLog.refusals == nil || len(n.electionLog.refusals) >= maxLoggedCandidates {
			n.electionLog.refusals = make(map[string]loggedRefusal)
		}
		n.electionLog.refusals[refusal.Candidate] = loggedRefusal{refusal.Reason, now}
		n.opts.Log.Info("vote refused", "candidate", refusal.Candidate, "term", refusal.Term, "pre_vote", refusal.Pre, "reason", string(refusal.Reason))
	}
}

// maxLoggedCandidates bounds the candidates whose last refusal is kept.
const maxLoggedCandidates = 64

// sameResult reports whether two elections differ in their term only.
func sameResult(a, b core.Election) bool {
	return a.Pre == b.Pre && a.Won == b.Won && slices.Equal(a.Voters, b.Voters) && slices.Equal(a.Granted, b.Granted) && slices.Equal(a.Refused, b.Refused)
}
