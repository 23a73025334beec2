package idempotency

import (
	"slices"
	"sort"
	"time"

	"laburnumrouter/internal/process/escrow"
	laburnumv1 "laburnumrouter/proto/laburnum/v1"
)

const (
	// memberTimeout is the time without a report after which a member is removed from its group.
	memberTimeout = 3 * time.Second
	// groupTimeout is the time without a report from any member after which a new group replaces the old one. By
	// then a member that is alive but cut off has fenced itself.
	groupTimeout = 3 * escrow.FenceTime
	// MaxClockSkew is the largest difference assumed between the clocks of the fleet and its callers.
	MaxClockSkew = time.Minute
)

// maxGroupSize bounds the number of members and learners of a group.
const maxGroupSize = 3

// Candidate is what the leader of the control log knows, from reports, about an entry of a data centre. An entry is a
// node of the fleet that accepts requests.
type Candidate struct {
	Entry       string
	Incarnation uint64
	SinceReport time.Duration // since its last report, or since the leader's term began if that is later
	SyncedEpoch uint64        // epoch up to which the entry, as a learner, holds all records
}

// GroupPlanner holds the input from which Plan decides on the record group of a data centre.
type GroupPlanner struct {
	DataCentre string
	Current    *laburnumv1.RecordGroup // nil if there is none
	Candidates []Candidate
	LeaderFor  time.Duration // time since the leader's term began
}

// Plan returns the next record group, or nil if the current one should stay.
//
// A member that is lost or restarted is removed, an entry that appears joins as a learner, and a learner that holds
// all records becomes a member. The group stays as it is while no entry of the data centre reports. If no member is
// left, a new group starts, and the outcome of keys created before it is unknown.
func (g *GroupPlanner) Plan(now time.Time) *laburnumv1.RecordGroup {
	sort.Slice(g.Candidates, func(i, j int) bool { return g.Candidates[i].Entry < g.Candidates[j].Entry })
	first := g.firstReachable()
	if first == "" {
		return nil
	}
	next := &laburnumv1.RecordGroup{
		DataCentre:          g.DataCentre,
		Epoch:               g.Current.GetEpoch(),
		CompleteSinceUnixMs: g.Current.GetCompleteSinceUnixMs(),
		Members:             g.remaining(g.Current.GetMembers(), memberTimeout),
	}
	if len(next.Members) == 0 {
		if len(g.remaining(g.Current.GetMembers(), groupTimeout)) > 0 {
			return nil
		}
		next.Members = []string{first}
		if g.Current != nil {
			next.CompleteSinceUnixMs = now.Add(MaxClockSkew).UnixMilli()
		}
	}
	g.addLearners(next)
	if slices.Equal(next.Members, g.Current.GetMembers()) && slices.Equal(next.Learners, g.Current.GetLearners()) {
		return nil
	}
	return next
}

// firstReachable returns the member id of the first candidate that reports, or "" if there is none.
func (g *GroupPlanner) firstReachable() string {
	for _, c := range g.Candidates {
		if c.SinceReport < memberTimeout {
			return escrow.HolderID(c.Entry, c.Incarnation)
		}
	}
	return ""
}

// remaining returns the members that were neither restarted nor without a report for the given time.
func (g *GroupPlanner) remaining(members []string, silence time.Duration) []string {
	var list []string
	for _, m := range members {
		if g.alive(m, silence) {
			list = append(list, m)
		}
	}
	return list
}

// alive reports whether a member still runs under its incarnation and has reported recently enough. A member without
// any report counts as alive until the leader has listened for that long.
func (g *GroupPlanner) alive(member string, silence time.Duration) bool {
	entry, incarnation, _ := escrow.ParseHolderID(member)
	for _, c := range g.Candidates {
		if c.Entry == entry {
			return c.Incarnation == incarnation && c.SinceReport < silence
		}
	}
	return g.LeaderFor < silence
}

// addLearners adds reporting entries as learners up to maxGroupSize, and promotes learners that hold all records.
func (g *GroupPlanner) addLearners(next *laburnumv1.RecordGroup) {
	for _, c := range g.Candidates {
		id := escrow.HolderID(c.Entry, c.Incarnation)
		if c.SinceReport >= memberTimeout || slices.Contains(next.Members, id) {
			continue
		}
		learner := slices.Contains(g.Current.GetLearners(), id)
		switch {
		case learner && c.SyncedEpoch != 0 && c.SyncedEpoch == g.Current.GetEpoch():
			next.Members = append(next.Members, id)
		case learner || len(next.Members)+len(next.Learners) < maxGroupSize:
			next.Learners = append(next.Learners, id)
		}
	}
}
