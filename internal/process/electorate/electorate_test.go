package electorate

import (
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

func voter(name string, silent time.Duration) Member {
	return Member{Name: name, Address: name, Silent: silent, Self: name == "a", Heard: true}
}

func learner(name string, silent time.Duration) Member {
	return Member{Name: name, Address: name, Silent: silent, Learner: true, CaughtUp: true}
}

func TestNext(t *testing.T) {
	threeVoters := []Member{voter("a", 0), voter("b", 0), voter("c", 0)}
	replaced := Member{Name: "c/1", Address: "c", Learner: true, CaughtUp: true}
	behind := Member{Name: "d", Address: "d", Learner: true}
	cases := []struct {
		name    string
		members []Member
		joiners []Joiner
		want    Action
	}{
		{"enough voters, all answer", threeVoters, nil, Action{}},
		{"a newcomer joins", threeVoters, []Joiner{{Name: "d", Address: "x"}}, Action{Add: "d", Address: "x"}},
		{"an expired request to join is ignored", threeVoters, []Joiner{{Name: "d", Age: joinRequestLifetime + 1}}, Action{}},
		{"a request to join of a member is ignored", threeVoters, []Joiner{{Name: "c"}}, Action{}},
		{"too few voters", []Member{voter("a", 0), learner("b", 0)}, nil, Action{Promote: "b"}},
		{"a silent learner gets no vote", []Member{voter("a", 0), learner("b", deadAfter)}, nil, Action{}},
		{"a dead voter is replaced", append(threeVoters[:2:2], voter("c", deadAfter), learner("d", 0)), nil, Action{Promote: "d"}},
		{"a learner that is behind doesn't keep another one from the vote", append(threeVoters[:2:2], voter("c", deadAfter), behind, learner("e", time.Second)), nil,
			Action{Promote: "e"}},
		{"a short silence is tolerated", append(threeVoters[:2:2], voter("c", time.Second), learner("d", 0)), nil, Action{}},
		{"a voter that lost its data folder is replaced at once", append(threeVoters[:2:2], voter("c", time.Second), replaced), nil, Action{Promote: "c/1"}},
		{"a dead voter is removed once replaced", append(threeVoters[:2:2], voter("c", deadAfter), voter("d", 0)), nil, Action{Remove: "c"}},
		{"the voter that lost its data folder is removed, not its successor", append(threeVoters[:2:2], voter("c", time.Second), Member{Name: "c/1", Address: "c"}),
			nil, Action{Remove: "c"}},
		{"one voter too many", append(threeVoters[:3:3], voter("d", 0)), nil, Action{Remove: "d"}},
		{"a learner that is silent for long is removed", append(threeVoters[:3:3], learner("d", removeLearnerAfter)), nil, Action{Remove: "d"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			got := Next(c.members, c.joiners, 3)
			got.Reason = ""
			must.Eq(t, c.want, got)
		})
	}
}

// Guards against a new leader that removes a voter that works and keeps the lost one: it has just begun to listen, so that no voter has
// been silent for long, while one too many is a voter because the leader before it was about to replace the lost one.
func TestNewLeaderKeepsVotersThatAnswer(t *testing.T) {
	members := func(silent time.Duration, heard ...string) (list []Member) {
		for _, name := range []string{"a", "b", "c", "d"} {
			m := voter(name, silent)
			if m.Heard = slices.Contains(heard, name); m.Heard {
				m.Silent = 0
			}
			list = append(list, m)
		}
		return list
	}
	must.True(t, Next(members(0), nil, 3).Empty())
	must.True(t, Next(members(250*time.Millisecond, "a", "c", "d"), nil, 3).Empty(), must.Sprint("b may answer yet"))
	must.Eq(t, "b", Next(members(extraSilentAfter, "a", "c", "d"), nil, 3).Remove)
	must.Eq(t, "d", Next(members(0, "a", "b", "c", "d"), nil, 3).Remove, must.Sprint("the one that was to be replaced is back"))
}

// Guards against a lost voter that keeps its vote while a slow one loses its own: of several that haven't answered for a second, the
// first by name was removed.
func TestExtraVoterThatIsSilentLongestIsRemoved(t *testing.T) {
	members := []Member{voter("a", 0), voter("b", extraSilentAfter), voter("c", deadAfter-1), voter("d", 0)}
	must.Eq(t, "c", Next(members, nil, 3).Remove)
	members = []Member{voter("a", 0), voter("b", deadAfter), voter("c", 2*deadAfter), voter("d", 0)}
	must.Eq(t, "c", Next(members, nil, 3).Remove)
}
