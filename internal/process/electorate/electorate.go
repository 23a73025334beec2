// Package electorate decides, on the leader of a replicated log, which member is added, promoted to voter or removed
// next. It reads no clock and does no I/O.
package electorate

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

const (
	// deadAfter is how long a voter must be silent before it is replaced. It is longer than a restart or a short freeze
	// of a machine usually takes, and shorter than the 4 s after which a second loss must be survived (catch_up_s).
	deadAfter = 3 * time.Second
	// extraSilentAfter is how long one of too many voters must be silent before it is removed instead of one that answers: a new
	// leader hears from all that run within a few heartbeats.
	extraSilentAfter = time.Second
	// removeLearnerAfter is how long a learner may be silent before it is removed. It asks to join again when it is
	// back.
	removeLearnerAfter = 30 * time.Second
	// joinRequestLifetime is how long a request to join is valid; its sender repeats it every 500 ms.
	joinRequestLifetime = 3 * time.Second
)

// Member is a member of the replicated log as its leader sees it.
type Member struct {
	Name, Address string
	Learner       bool
	// Self is set for the leader.
	Self bool
	// Silent is the time since the member last answered.
	Silent time.Duration
	// Heard is set once the member has answered the present leader.
	Heard bool
	// CaughtUp is set on a learner that holds enough of the log to vote.
	CaughtUp bool
}

// Joiner is an instance that asked to join.
type Joiner struct {
	Name, Address string
	// Age is the time since it last asked.
	Age time.Duration
}

// Action is one change of the membership.
type Action struct {
	// Add, Promote and Remove name a member; one of them is set, or none if nothing is to be done. Then Reason tells what the next
	// change waits for; it is empty if the membership is as it should be.
	Add, Promote, Remove string
	// Address is that of Add.
	Address string
	// Reason explains the change in log messages.
	Reason string
}

// Next returns the next change that brings the membership towards the given number of voters, one change at a time.
// It sorts members by name.
func Next(members []Member, joiners []Joiner, voters int) Action {
	slices.SortFunc(members, func(a, b Member) int { return strings.Compare(a.Name, b.Name) })
	for _, step := range []func([]Member, []Joiner, int) Action{addJoiner, promoteMissingVoter, promoteReplacement, removeExtraVoter, removeSilentLearner} {
		if a := step(members, joiners, voters); a != (Action{}) {
			return a
		}
	}
	if votersMissing(members, voters) {
		return Action{Reason: "no learner has caught up that could become a voter"}
	}
	return Action{}
}

// Empty reports whether nothing is to be done.
func (a Action) Empty() bool { return a.Add == "" && a.Promote == "" && a.Remove == "" }

// votersMissing reports whether there are too few voters that answer.
func votersMissing(members []Member, voters int) bool {
	return count(members, func(m Member) bool { return !m.Learner && !needsReplacement(m, members) }) < voters
}

// addJoiner adds an instance that asked to join.
func addJoiner(members []Member, joiners []Joiner, _ int) Action {
	for _, j := range joiners {
		known := slices.ContainsFunc(members, func(m Member) bool { return m.Name == j.Name })
		if !known && j.Age <= joinRequestLifetime {
			return Action{Add: j.Name, Address: j.Address, Reason: "it asked to join"}
		}
	}
	return Action{}
}

func count(members []Member, matches func(Member) bool) (n int) {
	for _, m := range members {
		if matches(m) {
			n++
		}
	}
	return n
}

func isVoter(m Member) bool { return !m.Learner }

// lostDataFolder reports whether a member has lost its data folder: another member joined from its address and was
// heard more recently.
func lostDataFolder(m Member, members []Member) bool {
	return slices.ContainsFunc(members, func(o Member) bool {
		return o.Name != m.Name && o.Address == m.Address && m.Silent > o.Silent
	})
}

// needsReplacement reports whether m is a voter that is to be replaced. The leader never is.
func needsReplacement(m Member, members []Member) bool {
	return !m.Learner && !m.Self && (m.Silent >= deadAfter || lostDataFolder(m, members))
}

// bestLearner returns the name of the learner that has caught up and answered most recently, or "" if none has answered within deadAfter.
func bestLearner(members []Member) string {
	best := slices.MinFunc(append([]Member{{Silent: deadAfter}}, members...), func(a, b Member) int {
		return cmp.Compare(promotionRank(a), promotionRank(b))
	})
	return best.Name
}

// promotionRank returns the rank of m as a new voter, lower is better; deadAfter means that it is unsuitable.
func promotionRank(m Member) time.Duration {
	if !m.Learner || !m.CaughtUp || m.Silent >= deadAfter {
		return deadAfter
	}
	return m.Silent
}

// promoteMissingVoter promotes a learner while there are too few voters.
func promoteMissingVoter(members []Member, _ []Joiner, voters int) Action {
	if count(members, isVoter) >= voters {
		return Action{}
	}
	if name := bestLearner(members); name != "" {
		return Action{Promote: name, Reason: "there are too few voters"}
	}
	return Action{}
}

// promoteReplacement promotes a learner that is to take the place of a voter that needs replacement.
func promoteReplacement(members []Member, _ []Joiner, voters int) Action {
	if count(members, isVoter) > voters || !slices.ContainsFunc(members, func(m Member) bool { return needsReplacement(m, members) }) {
		return Action{}
	}
	if name := bestLearner(members); name != "" {
		return Action{Promote: name, Reason: "a voter does not answer"}
	}
	return Action{}
}

// mostSilent returns the member that has been silent for longest of those that match, the first by name of several; its name is empty
// if none matches.
func mostSilent(members []Member, matches func(Member) bool) (most Member) {
	for _, m := range members {
		if matches(m) && (most.Name == "" || m.Silent > most.Silent) {
			most = m
		}
	}
	return most
}

// removeExtraVoter removes a voter while there are too many, preferably one that needs replacement.
func removeExtraVoter(members []Member, _ []Joiner, voters int) Action {
	if count(members, isVoter) <= voters {
		return Action{}
	}
	if m := mostSilent(members, func(m Member) bool { return needsReplacement(m, members) }); m.Name != "" {
		return Action{Remove: m.Name, Reason: "another voter has taken its place"}
	}
	others := func(m Member) bool { return !m.Learner && !m.Self }
	if m := mostSilent(members, others); m.Silent >= extraSilentAfter {
		return Action{Remove: m.Name, Reason: "there are too many voters, and it does not answer"}
	}
	if count(members, func(m Member) bool { return others(m) && !m.Heard }) > 0 {
		return Action{Reason: "there are too many voters, and one has not answered this leader yet"}
	}
	// All voters answer, so the replaced one is back. The last one by name is removed, but never the leader.
	for _, m := range slices.Backward(members) {
		if !m.Learner && !m.Self {
			return Action{Remove: m.Name, Reason: "there are too many voters"}
		}
	}
	return Action{}
}

// removeSilentLearner removes a learner that has been silent for removeLearnerAfter, whether it is down or has lost its
// data folder.
func removeSilentLearner(members []Member, _ []Joiner, _ int) Action {
	for _, m := range members {
		if m.Learner && m.Silent >= removeLearnerAfter {
			return Action{Remove: m.Name, Reason: "it has been silent for long"}
		}
	}
	return Action{}
}
