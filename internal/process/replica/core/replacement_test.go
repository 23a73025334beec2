package core

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"laburnumrouter/internal/process/electorate"
	laburnumv1 "laburnumrouter/proto/laburnum/v1"
)

const (
	simTick = 50 * time.Millisecond
	// joinTicks is the number of ticks between requests to join, checkTicks that between the leader's checks of the members.
	joinTicks, checkTicks = 10, 5
	// fullStrengthTicks is the bound within which a replaced machine's vote is in use again: 6 s, of which 3 s pass until the
	// lost one counts as dead.
	fullStrengthTicks = 120
)

// fleet is a log whose machines are replaced for good. Each new one has an empty disk and a new address, and knows as seeds
// some addresses that were in use when it was set up; those of a running machine are never renewed.
type fleet struct {
	*network
	targetVoters int
	seeds        map[string][]string          // by member
	contacts     electorate.Contacts          // of the leader
	learned      map[string][]string          // addresses that a member was told in answers to its requests to join
	joiners      map[string]map[string]uint64 // tick of the last request to join, by receiver and sender
	now          uint64
	nextAddress  int
	removed      map[string]bool // machines that are gone for good
}

func address(member string) string {
	a, _, _ := strings.Cut(member, "/")
	return a
}

// newFleet returns a fleet whose founders are the first three of size machines; the others join.
func newFleet(t rapid.TB, seed uint64, size, tolerated int) *fleet {
	founders := []string{"m0", "m1", "m2"}
	f := &fleet{
		network: newNetwork(seed, founders...), targetVoters: 2*tolerated + 1, seeds: make(map[string][]string),
		joiners: make(map[string]map[string]uint64), learned: make(map[string][]string), nextAddress: 3, removed: make(map[string]bool),
	}
	for _, name := range founders {
		f.seeds[name] = founders
	}
	for len(f.names) < size {
		f.addMachine(founders)
	}
	f.runTicks(fullStrengthTicks)
	f.requireFullStrength(t)
	return f
}

// addMachine starts a machine with an empty disk at a new address and returns its member name.
func (f *fleet) addMachine(seeds []string) string {
	name := fmt.Sprintf("m%d/%x", f.nextAddress, f.rand.Uint32())
	f.nextAddress++
	f.add(name, nil, 0)
	f.seeds[name] = seeds
	return name
}

// remove takes a machine away for good.
func (f *fleet) remove(name string) {
	f.crash(f.peers[name])
	f.removed[name] = true
}

// running returns the members that are up and neither frozen nor removed.
func (f *fleet) running() (list []string) {
	for _, name := range f.names {
		if p := f.peers[name]; p.up && !p.frozen && !f.removed[name] {
			list = append(list, name)
		}
	}
	return list
}

// currentSeeds returns the addresses of three running machines.
func (f *fleet) currentSeeds() []string {
	list := f.running()
	f.rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	var seeds []string
	for _, name := range list[:min(3, len(list))] {
		seeds = append(seeds, address(name))
	}
	return seeds
}

func (f *fleet) runTicks(ticks int) {
	for range ticks {
		f.now++
		f.run(1)
		for _, name := range f.running() {
			if f.now%joinTicks == 0 {
				f.requestJoin(f.peers[name])
			}
			if f.now%checkTicks == 0 {
				f.changeMembership(f.peers[name])
			}
		}
		f.deliverAll()
	}
}

// requestJoin asks all machines that this one knows, as its seeds or from its log, to add it, unless it is a member and has
// a leader.
func (f *fleet) requestJoin(p *peer) {
	s := p.core.Status()
	member := p.core.members.get(p.name)
	if member != nil && s.Leader != "" {
		return
	}
	targets := slices.Clone(f.seeds[p.name])
	for _, m := range s.Members {
		targets = append(targets, address(m.Name))
	}
	targets = append(targets, f.learned[p.name]...)
	for _, name := range f.running() {
		if slices.Contains(targets, address(name)) && f.connected(p.name, name) {
			if f.joiners[name] == nil {
				f.joiners[name] = make(map[string]uint64)
			}
			f.joiners[name][p.name] = f.now
			for _, m := range f.peers[name].core.Status().Members {
				f.learned[p.name] = append(f.learned[p.name], address(m.Name))
			}
		}
	}
}

// changeMembership makes the change that electorate.Next asks for if p leads.
func (f *fleet) changeMembership(p *peer) {
	if p.core.role != Leader {
		return
	}
	s := p.core.Status()
	now, names := time.Duration(f.now)*simTick, []string{}
	for _, m := range s.Members {
		names = append(names, m.Name)
	}
	f.contacts.Update(now, s.Term, time.Duration(s.LeaderlessTicks)*simTick, names, s.Active)
	var list []electorate.Member
	for _, m := range s.Members {
		silent, heard := f.contacts.Silent(m.Name)
		list = append(list, electorate.Member{
			Name: m.Name, Address: address(m.Name), Learner: m.Learner, Self: m.Name == p.name,
			Silent: silent, Heard: heard, CaughtUp: slices.Contains(s.CaughtUp, m.Name),
		})
	}
	var joiners []electorate.Joiner
	for name, at := range f.joiners[p.name] {
		joiners = append(joiners, electorate.Joiner{Name: name, Address: address(name), Age: time.Duration(f.now-at) * simTick})
	}
	slices.SortFunc(joiners, func(a, b electorate.Joiner) int { return strings.Compare(a.Name, b.Name) })
	switch a := electorate.Next(list, joiners, f.targetVoters); {
	case a.Add != "":
		_, _, _ = p.core.AddLearner(a.Add, a.Address)
	case a.Promote != "":
		_, _, _ = p.core.Promote(a.Promote)
	case a.Remove != "":
		_, _, _ = p.core.Remove(a.Remove)
	}
	f.processReady(p)
}

// fullStrength reports whether the leader's voters are as many as wanted and all run.
func (f *fleet) fullStrength() bool {
	p := f.leader()
	if p == nil || f.removed[p.name] {
		return false
	}
	voters := p.core.members.voterNames()
	for _, v := range voters {
		if f.removed[v] || !f.peers[v].up {
			return false
		}
	}
	return len(voters) == f.targetVoters && p.core.members.index() <= p.core.log.commit
}

// requireFullStrength lets time pass until the log is at full strength, and fails after fullStrengthTicks.
func (f *fleet) requireFullStrength(t rapid.TB) {
	for range fullStrengthTicks {
		if f.fullStrength() {
			break
		}
		f.runTicks(1)
	}
	if !f.fullStrength() {
		t.Fatalf("not at full strength %s after calm began:\n%s", fullStrengthTicks*simTick, f.describePeers())
	}
}

// commit commits a command through the leader and returns its index.
func (f *fleet) commit(t rapid.TB, number int) uint64 {
	p := f.leader()
	if p == nil {
		t.Fatalf("no leader:\n%s", f.describePeers())
	}
	index, _, err := f.propose(p, number, 1)
	if err != nil {
		t.Fatal(err)
	}
	f.runTicks(2)
	if p.core.log.commit < index {
		t.Fatalf("index %d is not committed:\n%s", index, f.describePeers())
	}
	return index
}

// TestEveryCoreMachineIsReplaced replaces machines, as many at once as the fleet tolerates, until no machine of the start
// and no address that it knew is left; between, one that runs on knows only seeds that are gone. Some go without notice,
// some after their successor has come, some during an election, a cut, a slow disk or a loss of power of all others.
func TestEveryCoreMachineIsReplaced(t *testing.T) {
	setDefaultChecks(t, 100)
	for name, size := range map[string][2]int{"3 machines, 1 may be lost": {3, 1}, "6 machines, 2 may be lost": {6, 2}, "4 machines, 1 may be lost": {4, 1}} {
		t.Run(name, func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				f := newFleet(t, rapid.Uint64().Draw(t, "seed"), size[0], size[1])
				originals := f.running()
				var committed []uint64
				for round := 0; len(originals) > 0 || round < 4; round++ {
					committed = append(committed, f.commit(t, round))
					gone := f.replace(t, rapid.IntRange(1, size[1]).Draw(t, "at once"))
					originals = slices.DeleteFunc(originals, func(name string) bool { return slices.Contains(gone, name) })
					f.requireFullStrength(t)
					f.requireNoVoteOfRemoved(t, gone)
					if f.violation != nil {
						t.Fatal(f.violation)
					}
				}
				f.commit(t, 19)
				for _, index := range committed {
					if _, ok := f.applied[index]; !ok || f.leader().core.log.commit < index {
						t.Fatalf("index %d is lost", index)
					}
				}
				f.checkLogs()
				if f.violation != nil {
					t.Fatal(f.violation)
				}
			})
		})
	}
}

// replace replaces count machines, the oldest first, beside a disturbance, and returns their names.
func (f *fleet) replace(t *rapid.T, count int) []string {
	gone := f.running()[:count]
	seeds := f.currentSeeds()
	planned := rapid.Bool().Draw(t, "planned")
	if planned {
		for range gone {
			f.addMachine(seeds)
		}
		f.runTicks(rapid.IntRange(0, 40).Draw(t, "before"))
	}
	f.disturb(t, gone)
	for _, name := range gone {
		f.remove(name)
	}
	if rapid.Bool().Draw(t, "learner that never comes up") {
		f.remove(f.addMachine(seeds))
	}
	f.runTicks(rapid.IntRange(0, 40).Draw(t, "between"))
	if !planned {
		for range gone {
			f.addMachine(f.currentSeeds())
		}
	}
	return gone
}

// disturb lets something else fail shortly before machines go, and ends it a little later.
func (f *fleet) disturb(t *rapid.T, gone []string) {
	others := slices.DeleteFunc(f.running(), func(name string) bool { return slices.Contains(gone, name) })
	victim := f.peers[rapid.SampledFrom(others).Draw(t, "victim")]
	ticks := rapid.IntRange(1, 30).Draw(t, "for")
	switch rapid.SampledFrom([]string{"nothing", "election", "cut", "slow disk", "power loss", "snapshot"}).Draw(t, "disturbance") {
	case "election":
		if p := f.leader(); p != nil {
			p.core.TransferLeadership()
			f.processReady(p)
		}
	case "cut":
		f.isolate(victim.name)
		f.runTicks(ticks)
		f.heal()
	case "slow disk":
		f.setSlow(victim, true)
		f.runTicks(ticks)
		f.setSlow(victim, false)
	case "power loss":
		for _, name := range others {
			f.crash(f.peers[name])
		}
		f.runTicks(ticks)
		for _, name := range others {
			f.start(f.peers[name])
		}
		f.runTicks(4 * testElectionTicks)
	case "snapshot":
		if p := f.leader(); p != nil {
			f.compact(p, 1)
		}
	}
}

// requireNoVoteOfRemoved wakes removed machines. Neither do they lead nor is any of their votes counted, and the leader stays.
func (f *fleet) requireNoVoteOfRemoved(t rapid.TB, gone []string) {
	before := f.leader()
	for _, name := range gone {
		f.start(f.peers[name])
	}
	f.run(4 * testElectionTicks)
	for _, name := range gone {
		p := f.peers[name]
		if p.core.role == Leader || f.leader() != before || before.core.members.isVoter(name) {
			t.Fatalf("removed machine %s takes part:\n%s", name, f.describePeers())
		}
		f.remove(name)
	}
	f.inFlight = nil
}

// A machine that was removed and comes back at its old address with another disk is another member.
func TestReturningAddressWithOtherDiskIsAnotherMember(t *testing.T) {
	f := newFleet(t, 5, 4, 1)
	old := f.running()[1]
	f.remove(old)
	name := fmt.Sprintf("%s/%x", address(old), rand.New(rand.NewPCG(1, 1)).Uint32())
	f.add(name, nil, 0)
	f.seeds[name] = []string{address(old)}
	f.runTicks(fullStrengthTicks)
	must.True(t, f.fullStrength())
	p := f.leader()
	must.Nil(t, p.core.members.get(old))
	must.False(t, p.core.members.isVoter(old))

	// What the old disk answers counts for nobody.
	before := p.core.log.commit
	f.deliverMessage(Message{From: old, To: p.name, ConsensusMessage: &laburnumv1.ConsensusMessage{
		Type: appendResponse, Term: p.core.term, Cluster: 7, Replica: f.peers[old].replica, Index: before + 10,
	}})
	must.Eq(t, before, p.core.log.commit)
}

// A removed machine that wakes and asks to join is a learner again: it gets the log, but its vote doesn't count.
func TestRemovedMachineThatWakesJoinsAsLearner(t *testing.T) {
	f := newFleet(t, 6, 4, 1)
	old := f.running()[1]
	f.remove(old)
	f.runTicks(fullStrengthTicks)
	p := f.leader()
	must.Nil(t, p.core.members.get(old))

	f.removed[old] = false
	f.start(f.peers[old])
	f.runTicks(fullStrengthTicks)
	must.Eq(t, p, f.leader())
	member := p.core.members.get(old)
	must.NotNil(t, member)
	must.True(t, member.Learner)
	must.True(t, f.fullStrength())
	must.Eq(t, p.core.log.commit, f.peers[old].core.log.commit)
	must.NoError(t, f.violation)
}
