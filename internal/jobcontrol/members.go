package jobcontrol

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"laburnumrouter/internal/process/boottime"
	"laburnumrouter/internal/process/electorate"
	"laburnumrouter/internal/process/replica"
)

const (
	// joinPath is the HTTP path for requests to join the log.
	joinPath = "/jobs/join"
	// joinInterval is the time between join requests of an instance that is not a member or has no leader.
	joinInterval = 500 * time.Millisecond
	// membershipCheckInterval is the time between the leader's checks for a due change of the membership.
	membershipCheckInterval = 250 * time.Millisecond
	// changeTimeout bounds one change of the membership, which waits for a commit or for a learner to catch up.
	changeTimeout = 3 * time.Second
	// waitLogInterval is the time between lines about a change of the membership that waits.
	waitLogInterval = 5 * time.Second
	// maxJoinReplyBytes bounds the size of a reply to a join request.
	maxJoinReplyBytes = 64 << 10
)

// joinRequest is the body of a request to become a member of the log.
type joinRequest struct {
	Name, Address string
}

// joinReply answers a request to join with the addresses of the members that the receiver knows. The seeds of a new instance
// may not include the leader.
type joinReply struct {
	Members []string
}

// maxLearned bounds the addresses that an instance keeps from replies to its requests.
const maxLearned = 64

// members manages the membership of the log. On the leader it adds, promotes and removes members; on an instance that is
// not a member it asks to join.
type members struct {
	node         *replica.Node
	name         string
	address      string
	targetVoters int
	seedPeers    func() []string
	// checkRoom returns an error if the data folder can't be written.
	checkRoom func() error
	noRoom    bool // checkRoom returned an error last; used by run only
	// waitsFor is the reason that logWait logged last, at waitLoggedAt; used by run only.
	waitsFor     string
	waitLoggedAt time.Duration
	http         *http.Client
	log          hclog.Logger

	mu       sync.Mutex
	joiners  map[string]joiner
	learned  []string            // addresses of members from replies to requests to join
	contacts electorate.Contacts // used on the leader only
}

type joiner struct {
	address     string
	requestedAt time.Duration // by boottime.Now()
}

func (m *members) handle(mux *http.ServeMux) {
	mux.HandleFunc("POST "+joinPath, func(w http.ResponseWriter, r *http.Request) {
		var req joinRequest
		if err := json.NewDecoder(r.Body).Decode(&req); err != nil || req.Name == "" || req.Address == "" {
			http.Error(w, "the request needs a name and an address", http.StatusBadRequest)
			return
		}
		m.mu.Lock()
		m.joiners[req.Name] = joiner{address: req.Address, requestedAt: boottime.Now()}
		m.mu.Unlock()
		var addresses []string
		for _, member := range m.node.Status().Members {
			addresses = append(addresses, member.Address)
		}
		writeMembers(w, addresses)
	})
}

// writeMembers answers a request to join.
func writeMembers(w http.ResponseWriter, addresses []string) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(&joinReply{Members: addresses}) // the sender asks again if it is lost
}

// run checks the membership and asks to join, as needed, until ctx ends.
func (m *members) run(ctx context.Context) error {
	membershipTicker := time.NewTicker(membershipCheckInterval)
	defer membershipTicker.Stop()
	joinTicker := time.NewTicker(joinInterval)
	defer joinTicker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-membershipTicker.C:
			m.changeMembership(ctx)
		case <-joinTicker.C:
			if m.needsToJoin() && m.hasRoom() {
				m.requestJoin(ctx)
			}
		}
	}
}

// needsToJoin reports whether this instance is not a member, or has no leader and so may have been removed.
func (m *members) needsToJoin() bool {
	s := m.node.Status()
	return !slices.Contains(s.Voters, m.name) && (s.Leader == "" || !slices.Contains(s.Learners, m.name)) ||
		(s.Leader == "" && !s.IsLeader)
}

// hasRoom reports whether the data folder can be written: only then can this instance be of use as a member.
func (m *members) hasRoom() bool {
	err := m.checkRoom()
	if (err != nil) != m.noRoom {
		m.noRoom = err != nil
		m.log.Warn("request to join depends on room in the data folder", "held_back", m.noRoom, "error", err)
	}
	return err == nil
}

// requestJoin sends a join request to every known instance. Only the leader acts on it.
func (m *members) requestJoin(ctx context.Context) {
	body, err := json.Marshal(joinRequest{Name: m.name, Address: m.address})
	if err != nil {
		m.log.Error("cannot encode the join request", "error", err)
		return
	}
	targets := m.seedPeers()
	for _, member := range m.node.Status().Members {
		targets = append(targets, member.Address)
	}
	m.mu.Lock()
	targets = append(targets, m.learned...)
	m.mu.Unlock()
	slices.Sort(targets)
	for _, target := range slices.Compact(targets) {
		if target == m.address {
			continue
		}
		go m.sendJoinRequest(ctx, target, body)
	}
}

func (m *members) sendJoinRequest(ctx context.Context, target string, body []byte) {
	ctx, cancel := context.WithTimeout(ctx, joinInterval)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+target+joinPath, bytes.NewReader(body))
	if err != nil {
		return
	}
	resp, err := m.http.Do(req)
	if err != nil {
		m.log.Debug("join request not delivered", "target", target, "error", err)
		return
	}
	defer func() { _ = resp.Body.Close() }()
	var reply joinReply
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxJoinReplyBytes)).Decode(&reply); err != nil {
		return // an instance of an earlier version answers without a body
	}
	m.learn(reply.Members)
}

// learn adds addresses of members. The oldest ones are dropped beyond maxLearned.
func (m *members) learn(addresses []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, a := range addresses {
		if a != "" && !slices.Contains(m.learned, a) {
			m.learned = append(m.learned, a)
		}
	}
	m.learned = m.learned[max(0, len(m.learned)-maxLearned):]
}

// changeMembership makes the next due change of the membership if this instance leads.
func (m *members) changeMembership(ctx context.Context) {
	s := m.node.Status()
	if !s.IsLeader {
		return
	}
	list, joiners := m.electorateInput(s)
	action := electorate.Next(list, joiners, m.targetVoters)
	if action.Empty() {
		m.logWait(ctx, s, action.Reason)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	var err error
	switch {
	case action.Add != "":
		err = m.node.AddLearner(ctx, action.Add, action.Address)
	case action.Promote != "":
		err = m.node.Promote(ctx, action.Promote)
	case action.Remove != "":
		err = m.node.RemoveMember(ctx, action.Remove)
	}
	m.log.Info("membership of the log changes", "add", action.Add, "promote", action.Promote, "remove", action.Remove,
		"reason", action.Reason, "voters", len(s.Voters), "error", err)
}

// logWait logs what the next change of the membership waits for: when that changes, and every waitLogInterval.
func (m *members) logWait(ctx context.Context, s replica.Status, reason string) {
	now := boottime.Now()
	if m.waitsFor == reason && (reason == "" || now-m.waitLoggedAt < waitLogInterval) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, membershipCheckInterval)
	defer cancel()
	m.waitsFor, m.waitLoggedAt = reason, now
	m.log.Warn("membership of the log", "waits_for", reason, "voters", s.Voters, "answering", s.Active, "caught_up", s.CaughtUp,
		"progress", m.node.DescribeMembers(ctx))
}

// electorateInput returns the state of the members and the pending join requests for electorate.Next.
func (m *members) electorateInput(s replica.Status) ([]electorate.Member, []electorate.Joiner) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := boottime.Now()
	m.contacts.Update(now, s.Term, s.Leaderless, slices.Concat(s.Voters, s.Learners), s.Active)
	var list []electorate.Member
	for _, member := range s.Members {
		silent, heard := m.contacts.Silent(member.Name)
		list = append(list, electorate.Member{
			Name: member.Name, Address: member.Address, Learner: member.Learner, Self: member.Name == m.name,
			Silent: silent, Heard: heard, CaughtUp: slices.Contains(s.CaughtUp, member.Name),
		})
	}
	var joiners []electorate.Joiner
	for name, j := range m.joiners {
		joiners = append(joiners, electorate.Joiner{Name: name, Address: j.address, Age: now - j.requestedAt})
	}
	return list, joiners
}
