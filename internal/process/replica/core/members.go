package core

import (
	"fmt"

	"google.golang.org/protobuf/proto"

	laburnumv1 "laburnumrouter/proto/laburnum/v1"
)

// indexedMembership is a membership and the index of the log entry that set it.
type indexedMembership struct {
	index   uint64
	members []*laburnumv1.Member
}

// membershipHistory is the history of the memberships in the log, back to the one of the snapshot. The newest is in
// force, whether or not it is committed; if the log is truncated, the previous one is in force again.
type membershipHistory struct {
	history []indexedMembership
}

func (m *membershipHistory) load(meta *laburnumv1.SnapshotMeta, entries []*laburnumv1.LogEntry) {
	m.reset(meta)
	for _, e := range entries {
		m.add(e)
	}
}

func (m *membershipHistory) reset(meta *laburnumv1.SnapshotMeta) {
	m.history = []indexedMembership{{index: meta.GetIndex(), members: meta.GetMembership().GetMembers()}}
}

// add records the membership in an appended entry and reports whether the entry holds one.
func (m *membershipHistory) add(e *laburnumv1.LogEntry) bool {
	if e.Kind != laburnumv1.EntryKind_ENTRY_KIND_MEMBERSHIP {
		return false
	}
	next := &laburnumv1.Membership{}
	if err := proto.Unmarshal(e.Data, next); err != nil {
		return false // every replica holds the same bytes and skips the same entry
	}
	m.history = append(m.history, indexedMembership{index: e.Index, members: next.Members})
	return true
}

func (m *membershipHistory) truncate(index uint64) {
	for len(m.history) > 1 && m.history[len(m.history)-1].index >= index {
		m.history = m.history[:len(m.history)-1]
	}
}

// compact drops the memberships that were replaced at or before the snapshot's index.
func (m *membershipHistory) compact(meta *laburnumv1.SnapshotMeta) {
	for len(m.history) > 1 && m.history[1].index <= meta.Index {
		m.history = m.history[1:]
	}
}

func (m *membershipHistory) newest() indexedMembership { return m.history[len(m.history)-1] }

func (m *membershipHistory) current() []*laburnumv1.Member { return m.newest().members }

func (m *membershipHistory) index() uint64 { return m.newest().index }

// at returns the membership in force at an index.
func (m *membershipHistory) at(index uint64) *laburnumv1.Membership {
	found := m.history[0]
	for _, s := range m.history {
		if s.index <= index {
			found = s
		}
	}
	return &laburnumv1.Membership{Members: found.members}
}

func (m *membershipHistory) get(name string) *laburnumv1.Member {
	for _, member := range m.current() {
		if member.Name == name {
			return member
		}
	}
	return nil
}

func (m *membershipHistory) isVoter(name string) bool {
	member := m.get(name)
	return member != nil && !member.Learner
}

func (m *membershipHistory) voterNames() []string {
	var names []string
	for _, member := range m.current() {
		if !member.Learner {
			names = append(names, member.Name)
		}
	}
	return names
}

func (m *membershipHistory) voterCount() int { return len(m.voterNames()) }

func (m *membershipHistory) quorum() int { return m.voterCount()/2 + 1 }

// AddLearner proposes to add a member that receives the log but has no vote.
func (c *Core) AddLearner(name, address string) (index, term uint64, err error) {
	if c.members.get(name) != nil {
		return 0, 0, ErrMemberExists
	}
	next := append(c.cloneMembers(), &laburnumv1.Member{Name: name, Address: address, Learner: true})
	return c.proposeMembership(next)
}

// Promote proposes to make a learner a voter. It fails with ErrNotCaughtUp until the learner has caught up (see catchUpRound).
func (c *Core) Promote(name string) (index, term uint64, err error) {
	member := c.members.get(name)
	if member == nil {
		return 0, 0, ErrNoMember
	}
	if !member.Learner {
		return 0, 0, ErrMemberExists
	}
	if c.role == Leader && !c.caughtUp(name) {
		return 0, 0, c.describeLag(c.progress[name])
	}
	next := c.cloneMembers()
	for _, m := range next {
		if m.Name == name {
			m.Learner = false
		}
	}
	return c.proposeMembership(next)
}

// describeLag returns ErrNotCaughtUp with what the learner holds.
func (c *Core) describeLag(p *progress) error {
	return fmt.Errorf("%w: it holds %s", ErrNotCaughtUp, c.describeProgress(p))
}

func (c *Core) describeProgress(p *progress) string {
	return fmt.Sprintf("index %d of %d committed, answered %d ticks ago, round of %d ticks, probing %t, unanswered %d, snapshot %t",
		p.match, c.log.commit, c.now-p.lastResponse, c.now-p.round.since, p.probing, len(p.inflight), p.sendingSnapshot != nil)
}

// DescribeMembers tells for each other member what this leader knows of its log; nil on replicas that don't lead.
func (c *Core) DescribeMembers() (list []string) {
	for _, name := range c.peers() {
		if p := c.progress[name]; c.role == Leader && p != nil {
			list = append(list, name+": "+c.describeProgress(p))
		}
	}
	return list
}

// Remove proposes to remove a member. The active voters that remain must be a quorum of all voters that remain.
func (c *Core) Remove(name string) (index, term uint64, err error) {
	if c.members.get(name) == nil {
		return 0, 0, ErrNoMember
	}
	if name == c.cfg.Name {
		return 0, 0, ErrRemoveLeader
	}
	var next []*laburnumv1.Member
	var voters []string
	for _, m := range c.cloneMembers() {
		if m.Name == name {
			continue
		}
		next = append(next, m)
		if !m.Learner {
			voters = append(voters, m.Name)
		}
	}
	if c.role == Leader && !c.quorumActive(voters) {
		return 0, 0, ErrQuorumAtRisk
	}
	return c.proposeMembership(next)
}

// proposeMembership proposes a membership whose voters differ from those in force by at most one. The membership in
// force and an entry of this term must be committed: otherwise two memberships with disjoint quorums could be in force
// at the same time.
func (c *Core) proposeMembership(next []*laburnumv1.Member) (index, term uint64, err error) {
	if c.role != Leader {
		return 0, 0, ErrNotLeader
	}
	if c.members.index() > c.log.commit || !c.committedInTerm() {
		return 0, 0, ErrChangeInProgress
	}
	data, err := proto.Marshal(&laburnumv1.Membership{Members: next})
	if err != nil {
		return 0, 0, Error.Wrap(err)
	}
	return c.propose(laburnumv1.EntryKind_ENTRY_KIND_MEMBERSHIP, data)
}

func (c *Core) cloneMembers() []*laburnumv1.Member {
	var list []*laburnumv1.Member
	for _, m := range c.members.current() {
		list = append(list, proto.Clone(m).(*laburnumv1.Member))
	}
	return list
}

// recordFolderIDs proposes a membership with the data folder identifiers of the members that the leader has heard from
// but whose identifiers are not recorded yet.
func (c *Core) recordFolderIDs() {
	changed := false
	next := c.cloneMembers()
	for _, m := range next {
		known := c.cfg.Replica
		if m.Name != c.cfg.Name {
			known = c.progress[m.Name].folderID
		}
		if m.Replica == 0 && known != 0 {
			m.Replica, changed = known, true
		}
	}
	if changed {
		// The proposal fails while another change is in progress; the next tick retries it.
		_, _, _ = c.proposeMembership(next)
	}
}
