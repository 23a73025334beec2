package idempotency

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	laburnumv1 "laburnumrouter/proto/laburnum/v1"
)

func TestGroupPlan(t *testing.T) {
	now := time.UnixMilli(1_800_000_000_000)
	type strings = []string
	group := func(members, learners strings) *laburnumv1.RecordGroup {
		return &laburnumv1.RecordGroup{Epoch: 5, Members: members, Learners: learners}
	}
	reachable := func(entry string, incarnation uint64) Candidate {
		return Candidate{Entry: entry, Incarnation: incarnation}
	}
	silent := func(entry string, incarnation uint64, d time.Duration) Candidate {
		return Candidate{Entry: entry, Incarnation: incarnation, SinceReport: d}
	}
	synced := func(entry string, epoch uint64) Candidate {
		return Candidate{Entry: entry, Incarnation: 1, SyncedEpoch: epoch}
	}
	cases := []struct {
		name         string
		current      *laburnumv1.RecordGroup
		candidates   []Candidate
		leaderFor    time.Duration
		members      strings // nil if the group should stay
		learners     strings
		olderUnknown bool // the outcome of keys created before the group is unknown
	}{
		{"first group", nil, []Candidate{reachable("e2", 1), reachable("e1", 1)}, time.Hour, strings{"e1.1"}, strings{"e2.1"}, false},
		{"learner without records", group(strings{"e1.1"}, strings{"e2.1"}), []Candidate{reachable("e1", 1), synced("e2", 4)}, time.Hour, nil, nil, false},
		{"learner with all records", group(strings{"e1.1"}, strings{"e2.1"}), []Candidate{reachable("e1", 1), synced("e2", 5)}, time.Hour, strings{"e1.1", "e2.1"}, nil, false},
		{"member silent", group(strings{"e1.1", "e2.1"}, nil), []Candidate{silent("e1", 1, memberTimeout), reachable("e2", 1)}, time.Hour, strings{"e2.1"}, nil, false},
		{"member restarted", group(strings{"e1.1", "e2.1"}, nil), []Candidate{reachable("e1", 2), reachable("e2", 1)}, time.Hour, strings{"e2.1"}, strings{"e1.2"}, false},
		{"new leader has not heard a member yet", group(strings{"e1.1", "e2.1"}, nil), []Candidate{reachable("e2", 1)}, time.Second, nil, nil, false},
		{"no entry of the data centre reports", group(strings{"e1.1"}, nil), []Candidate{silent("e1", 1, time.Hour)}, time.Hour, nil, nil, false},
		{"all members restarted", group(strings{"e1.1", "e2.1"}, nil), []Candidate{reachable("e1", 2), reachable("e2", 2)}, time.Hour, strings{"e1.2"}, strings{"e2.2"}, true},
		{"last member silent, not yet fenced", group(strings{"e1.1"}, nil), []Candidate{silent("e1", 1, groupTimeout-1), reachable("e2", 1)}, time.Hour, nil, nil, false},
		{"last member silent until it is fenced", group(strings{"e1.1"}, nil), []Candidate{silent("e1", 1, groupTimeout), reachable("e2", 1)}, time.Hour, strings{"e2.1"}, nil, true},
		{"group already has its maximum size", group(strings{"e1.1", "e2.1", "e3.1"}, nil), []Candidate{reachable("e1", 1), reachable("e2", 1), reachable("e3", 1), reachable("e4", 1)}, time.Hour, nil, nil, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := &GroupPlanner{DataCentre: "dc1", Current: c.current, Candidates: c.candidates, LeaderFor: c.leaderFor}
			next := g.Plan(now)
			if c.members == nil {
				must.Nil(t, next)
				return
			}
			must.NotNil(t, next)
			must.Eq(t, c.members, next.Members)
			must.Eq(t, c.learners, next.Learners)
			must.Eq(t, c.olderUnknown, next.CompleteSinceUnixMs == now.Add(MaxClockSkew).UnixMilli())
		})
	}
}
