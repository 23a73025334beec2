package electorate

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

func voter(name string, silent time.Duration) Member {
	return Member{Name: name, Address: name, Silent: silent, Self: name == "a"}
}

func learner(name string, silent time.Duration) Member {
	return Member{Name: name, Address: name, Silent: silent, Learner: true}
}

func TestNext(t *testing.T) {
	whole := []Member{voter("a", 0), voter("b", 0), voter("c", 0)}
	replaced := Member{Name: "c/1", Address: "c", Learner: true}
	cases := []struct {
		name    string
		members []Member
		joiners []Joiner
		want    Action
	}{
		{"all is well", whole, nil, Action{}},
		{"a newcomer joins", whole, []Joiner{{Name: "d", Address: "x"}}, Action{Add: "d", Address: "x"}},
		{"an old request doesn't count", whole, []Joiner{{Name: "d", Age: joinFresh + 1}}, Action{}},
		{"a member that asks again is known", whole, []Joiner{{Name: "c"}}, Action{}},
		{"too few voters", []Member{voter("a", 0), learner("b", 0)}, nil, Action{Promote: "b"}},
		{"a silent learner gets no vote", []Member{voter("a", 0), learner("b", deadAfter)}, nil, Action{}},
		{"a dead voter is replaced", append(whole[:2:2], voter("c", deadAfter), learner("d", 0)), nil, Action{Promote: "d"}},
		{"a short silence is borne", append(whole[:2:2], voter("c", time.Second), learner("d", 0)), nil, Action{}},
		{"a lost folder is replaced at once", append(whole[:2:2], voter("c", time.Second), replaced), nil, Action{Promote: "c/1"}},
		{"the dead one leaves", append(whole[:2:2], voter("c", deadAfter), voter("d", 0)), nil, Action{Remove: "c"}},
		{"a lost folder's member leaves, not its successor", append(whole[:2:2], voter("c", time.Second), Member{Name: "c/1", Address: "c"}),
			nil, Action{Remove: "c"}},
		{"one too many", append(whole[:3:3], voter("d", 0)), nil, Action{Remove: "d"}},
		{"a learner that is gone is forgotten", append(whole[:3:3], learner("d", forgetAfter)), nil, Action{Remove: "d"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			got := Next(c.members, c.joiners, 3)
			got.Reason = ""
			must.Eq(t, c.want, got)
		})
	}
}
