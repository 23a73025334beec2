// Package membership tracks which of the system's own processes are alive.
//
// The table is updated by heartbeats and reads no clock: callers pass the time of their own monotonic
// clock. Times of different processes are never compared, so their clocks may differ.
package membership

import (
	"sort"
	"sync"
	"time"
)

const (
	// SuspectAfter is the silence after which a member is suspected.
	SuspectAfter = 2 * time.Second
	// DeadAfter is the silence after which a member is considered dead.
	DeadAfter = 5 * time.Second
)

// Liveness is the state of a member as derived from its heartbeats.
type Liveness int

const (
	// Unheard members have not been heard since the table was created.
	Unheard Liveness = iota
	// Alive members were heard within SuspectAfter.
	Alive
	// Suspect members have been silent for SuspectAfter, but not yet for DeadAfter.
	Suspect
	// Dead members have been silent for DeadAfter or longer.
	Dead
)

// String returns the name of the liveness.
func (l Liveness) String() string {
	return [...]string{"unheard", "alive", "suspect", "dead"}[l]
}

// Member is another process of the system.
type Member struct {
	Name         string
	DataCentre   string
	Incarnation  uint64    // highest one heard
	Heard        time.Time // zero if unheard
	InForceIndex uint64    // highest control log index up to which the member reported its configuration in force
}

// Liveness returns the member's state at now.
func (m *Member) Liveness(now time.Time) Liveness {
	switch silence := now.Sub(m.Heard); {
	case m.Heard.IsZero():
		return Unheard
	case silence < SuspectAfter:
		return Alive
	case silence < DeadAfter:
		return Suspect
	}
	return Dead
}

// Table holds the members that are listed in a process's settings. It is safe for concurrent use.
type Table struct {
	mu          sync.Mutex
	self        Member
	incarnation uint64
	members     map[string]*Member
}

// NewTable returns a table for the process with the given name, data centre and initial incarnation.
func NewTable(name, dataCentre string, incarnation uint64) *Table {
	return &Table{
		self:        Member{Name: name, DataCentre: dataCentre},
		incarnation: incarnation,
		members:     make(map[string]*Member),
	}
}

// Add adds a member. It is Unheard until its first heartbeat.
func (t *Table) Add(name, dataCentre string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.members[name] = &Member{Name: name, DataCentre: dataCentre}
}

// Incarnation returns the current incarnation of this process.
func (t *Table) Incarnation() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.incarnation
}

// Refute raises this process's incarnation above the one that a peer knows under its name. Otherwise, if the clock went
// back between two runs, peers would take the process for an earlier incarnation of itself and ignore it. It returns
// true if the incarnation changed.
func (t *Table) Refute(known uint64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if known <= t.incarnation {
		return false
	}
	t.incarnation = known + 1
	return true
}

// Heartbeat is the content of one heartbeat message.
type Heartbeat struct {
	Name         string
	DataCentre   string
	Incarnation  uint64
	InForceIndex uint64
}

// Verdict is the result of processing a heartbeat.
type Verdict int

const (
	// Accepted heartbeats update the time at which the member was last heard.
	Accepted Verdict = iota
	// Restarted heartbeats are accepted and carry a higher incarnation than before.
	Restarted
	// Stale heartbeats carry an earlier incarnation and are ignored.
	Stale
	// Unlisted heartbeats are ignored: they name a process that the settings do not list, or list in another data centre.
	Unlisted
)

// Heard processes a heartbeat and returns the verdict and the highest known incarnation of the sender.
func (t *Table) Heard(h Heartbeat, now time.Time) (Verdict, uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	m := t.members[h.Name]
	if m == nil || m.DataCentre != h.DataCentre {
		return Unlisted, 0
	}
	if h.Incarnation < m.Incarnation {
		return Stale, m.Incarnation
	}
	verdict := Accepted
	if h.Incarnation > m.Incarnation && m.Incarnation != 0 {
		verdict = Restarted
		m.InForceIndex = 0
	}
	m.Incarnation = h.Incarnation
	m.Heard = now
	m.InForceIndex = max(m.InForceIndex, h.InForceIndex)
	return verdict, m.Incarnation
}

// Get returns a copy of a member.
func (t *Table) Get(name string) (Member, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	m := t.members[name]
	if m == nil {
		return Member{}, false
	}
	return *m, true
}

// DataCentre returns copies of the members of a data centre, sorted by name, without this process.
func (t *Table) DataCentre(name string) []Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []Member
	for _, m := range t.members {
		if m.DataCentre == name {
			list = append(list, *m)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Name < list[j].Name })
	return list
}

// Relay returns the name of the process that exchanges with other data centres and control instances on behalf of its
// data centre: the lowest name among live processes, or "" if there is none. Two processes may disagree for a while.
// That is harmless, as relays only save traffic.
func (t *Table) Relay(dataCentre string, now time.Time) string {
	relay := ""
	if dataCentre == t.self.DataCentre {
		relay = t.self.Name
	}
	for _, m := range t.DataCentre(dataCentre) {
		if m.Liveness(now) == Alive && (relay == "" || m.Name < relay) {
			relay = m.Name
		}
	}
	return relay
}

// AllPeersSilent reports whether this process's data centre has other members and all of them are dead or unheard.
func (t *Table) AllPeersSilent(now time.Time) bool {
	peers := t.DataCentre(t.self.DataCentre)
	for _, m := range peers {
		if l := m.Liveness(now); l == Alive || l == Suspect {
			return false
		}
	}
	return len(peers) > 0
}

// AnyUnheard reports whether a member of this process's data centre has not been heard yet.
func (t *Table) AnyUnheard() bool {
	for _, m := range t.DataCentre(t.self.DataCentre) {
		if m.Heard.IsZero() {
			return true
		}
	}
	return false
}

// HighestInForce returns the highest control log index up to which a live member of this process's data centre has its
// configuration in force.
func (t *Table) HighestInForce(now time.Time) uint64 {
	var highest uint64
	for _, m := range t.DataCentre(t.self.DataCentre) {
		if m.Liveness(now) == Alive {
			highest = max(highest, m.InForceIndex)
		}
	}
	return highest
}
