// Package electorate decides, on the leader of a replicated log, which member joins, votes or leaves next. It is pure.
package electorate

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

const (
	// deadAfter is how long a voter must be silent before another replaces it: longer than a restart or a frozen
	// machine usually takes, and short against the time until a second loss (catch_up_s, 4 s).
	deadAfter = 3 * time.Second
	// forgetAfter is how long a member without a vote may be silent before it is dropped; it asks to join again
	// when it is back.
	forgetAfter = 30 * time.Second
	// joinFresh is how long a request to join counts; it is repeated every second.
	joinFresh = 3 * time.Second
)

// Member is a member of the log as its leader sees it.
type Member struct {
	Name, Address string
	Learner       bool
	// Self marks the leader.
	Self bool
	// Silent is how long it has not answered.
	Silent time.Duration
}

// Joiner is an instance that asked to join.
type Joiner struct {
	Name, Address string
	// Age is the time since it last asked.
	Age time.Duration
}

// Action is one change of the membership.
type Action struct {
	// Add, Promote and Remove name a member; one of them is set, or none if nothing is to be done.
	Add, Promote, Remove string
	// Address is that of Add.
	Address string
	// Reason says why, for the log.
	Reason string
}

// Next returns the next change towards a number of voters. Changes come one at a time.
func Next(members []Member, joiners []Joiner, voters int) Action {
	slices.SortFunc(members, func(a, b Member) int { return strings.Compare(a.Name, b.Name) })
	for _, step := range []func([]Member, []Joiner, int) Action{admit, fill, replace, shrink, forget} {
		if a := step(members, joiners, voters); a != (Action{}) {
			return a
		}
	}
	return Action{}
}

// admit adds an instance that asked to join.
func admit(members []Member, joiners []Joiner, _ int) Action {
	for _, j := range joiners {
		known := slices.ContainsFunc(members, func(m Member) bool { return m.Name == j.Name })
		if !known && j.Age <= joinFresh {
			return Action{Add: j.Name, Address: j.Address, Reason: "it asked to join"}
		}
	}
	return Action{}
}

func count(members []Member, keep func(Member) bool) (n int) {
	for _, m := range members {
		if keep(m) {
			n++
		}
	}
	return n
}

func isVoter(m Member) bool { return !m.Learner }

// lost reports whether a member's data folder is gone: another one joined from its address.
func lost(m Member, members []Member) bool {
	return slices.ContainsFunc(members, func(o Member) bool {
		return o.Name != m.Name && o.Address == m.Address && m.Silent > o.Silent
	})
}

// dead reports whether a voter is to be replaced.
func dead(m Member, members []Member) bool {
	return !m.Learner && !m.Self && (m.Silent >= deadAfter || lost(m, members))
}

// candidate returns a member without a vote that answers, or "".
func candidate(members []Member) string {
	best := slices.MinFunc(append([]Member{{Silent: deadAfter}}, members...), func(a, b Member) int {
		return cmp.Compare(fitness(a), fitness(b))
	})
	return best.Name
}

// fitness is lower for better candidates.
func fitness(m Member) time.Duration {
	if !m.Learner || m.Silent >= deadAfter {
		return deadAfter
	}
	return m.Silent
}

// fill gives a vote to a member while there are too few voters.
func fill(members []Member, _ []Joiner, voters int) Action {
	if count(members, isVoter) >= voters {
		return Action{}
	}
	if name := candidate(members); name != "" {
		return Action{Promote: name, Reason: "there are too few voters"}
	}
	return Action{}
}

// replace gives a vote to a member that is to take the place of a dead voter.
func replace(members []Member, _ []Joiner, voters int) Action {
	if count(members, isVoter) > voters || !slices.ContainsFunc(members, func(m Member) bool { return dead(m, members) }) {
		return Action{}
	}
	if name := candidate(members); name != "" {
		return Action{Promote: name, Reason: "a voter does not answer"}
	}
	return Action{}
}

// shrink removes a voter where there are too many, a dead one first.
func shrink(members []Member, _ []Joiner, voters int) Action {
	if count(members, isVoter) <= voters {
		return Action{}
	}
	for _, m := range members {
		if dead(m, members) {
			return Action{Remove: m.Name, Reason: "another voter has taken its place"}
		}
	}
	// All answer: the replaced one is back. The last by name goes, never the leader.
	for _, m := range slices.Backward(members) {
		if !m.Learner && !m.Self {
			return Action{Remove: m.Name, Reason: "there are too many voters"}
		}
	}
	return Action{}
}

// forget removes members without a vote that have been silent for long, or whose folder is gone.
func forget(members []Member, _ []Joiner, _ int) Action {
	for _, m := range members {
		if m.Learner && m.Silent >= forgetAfter {
			return Action{Remove: m.Name, Reason: "it has been silent for long"}
		}
	}
	return Action{}
}
