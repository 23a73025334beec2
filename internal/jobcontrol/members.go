package jobcontrol

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"laburnumrouter/internal/process/boottime"
	"laburnumrouter/internal/process/electorate"
	"laburnumrouter/internal/process/replica"
	laburnumv1 "laburnumrouter/proto/laburnum/v1"
)

const (
	// joinPath takes requests to join the log.
	joinPath = "/jobs/join"
	// joinEvery is the time between requests of an instance that is no member or hears no leader.
	joinEvery = 500 * time.Millisecond
	// electorateEvery is the time between looks at the membership.
	electorateEvery = 250 * time.Millisecond
	// changeTimeout bounds one change of the membership: a commit, or the wait for a learner to catch up.
	changeTimeout = 3 * time.Second
)

// joinRequest asks to become a member.
type joinRequest struct {
	Name, Address string
}

// members keeps the membership of the log in order: on the leader it decides, elsewhere it asks to join.
type members struct {
	node    *replica.Node
	name    string
	address string
	voters  int
	seeds   func() []string
	http    *http.Client
	log     hclog.Logger

	mu      sync.Mutex
	joiners map[string]joiner
	heard   map[string]time.Duration // when a member was last active, on the leader
	led     uint64                   // the term for which heard counts
}

type joiner struct {
	address string
	at      time.Duration
}

func (m *members) handle(mux *http.ServeMux) {
	mux.HandleFunc("POST "+joinPath, func(w http.ResponseWriter, r *http.Request) {
		var req joinRequest
		if err := json.NewDecoder(r.Body).Decode(&req); err != nil || req.Name == "" || req.Address == "" {
			http.Error(w, "the request names no instance", http.StatusBadRequest)
			return
		}
		m.mu.Lock()
		m.joiners[req.Name] = joiner{address: req.Address, at: boottime.Now()}
		m.mu.Unlock()
	})
}

// run works until ctx ends.
func (m *members) run(ctx context.Context) error {
	decide := time.NewTicker(electorateEvery)
	defer decide.Stop()
	ask := time.NewTicker(joinEvery)
	defer ask.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-decide.C:
			m.decide(ctx)
		case <-ask.C:
			if m.outside() {
				m.ask(ctx)
			}
		}
	}
}

// outside reports whether this instance is no member, or hears no leader and may have been removed.
func (m *members) outside() bool {
	s := m.node.Status()
	return !slices.Contains(s.Voters, m.name) && (s.Leader == "" || !slices.Contains(s.Learners, m.name)) ||
		(s.Leader == "" && !s.IsLeader)
}

// ask sends a request to join to every instance that is known; the leader among them heeds it.
func (m *members) ask(ctx context.Context) {
	body, err := json.Marshal(joinRequest{Name: m.name, Address: m.address})
	if err != nil {
		m.log.Error("request to join can't be encoded", "error", err)
		return
	}
	targets := m.seeds()
	for _, member := range m.node.Status().Members {
		targets = append(targets, member.Address)
	}
	slices.Sort(targets)
	for _, target := range slices.Compact(targets) {
		if target == m.address {
			continue
		}
		go m.askOne(ctx, target, body)
	}
}

func (m *members) askOne(ctx context.Context, target string, body []byte) {
	ctx, cancel := context.WithTimeout(ctx, joinEvery)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+target+joinPath, bytes.NewReader(body))
	if err != nil {
		return
	}
	resp, err := m.http.Do(req)
	if err != nil {
		m.log.Debug("request to join not delivered", "target", target, "error", err)
		return
	}
	_ = resp.Body.Close()
}

// decide makes the next change of the membership, if this instance leads and one is due.
func (m *members) decide(ctx context.Context) {
	s := m.node.Status()
	if !s.IsLeader {
		return
	}
	list, joiners := m.view(s)
	a := electorate.Next(list, joiners, m.voters)
	if a == (electorate.Action{}) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	var err error
	switch {
	case a.Add != "":
		err = m.node.AddLearner(ctx, a.Add, a.Address)
	case a.Promote != "":
		err = m.node.Promote(ctx, a.Promote)
	case a.Remove != "":
		err = m.node.RemoveMember(ctx, a.Remove)
	}
	m.log.Info("membership of the log changes", "add", a.Add, "promote", a.Promote, "remove", a.Remove,
		"reason", a.Reason, "voters", len(s.Voters), "error", err)
}

// view returns what the leader knows of members and joiners.
func (m *members) view(s replica.Status) ([]electorate.Member, []electorate.Joiner) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := boottime.Now()
	if m.led != s.Term {
		m.led, m.heard = s.Term, make(map[string]time.Duration)
	}
	for _, name := range s.Active {
		m.heard[name] = now
	}
	for name := range m.heard {
		if !slices.ContainsFunc(s.Members, func(o *laburnumv1.Member) bool { return o.Name == name }) {
			delete(m.heard, name)
		}
	}
	var list []electorate.Member
	for _, member := range s.Members {
		if _, ok := m.heard[member.Name]; !ok {
			m.heard[member.Name] = now
		}
		list = append(list, electorate.Member{
			Name: member.Name, Address: member.Address, Learner: member.Learner, Self: member.Name == m.name,
			Silent: now - m.heard[member.Name],
		})
	}
	var joiners []electorate.Joiner
	for name, j := range m.joiners {
		joiners = append(joiners, electorate.Joiner{Name: name, Address: j.address, Age: now - j.at})
	}
	return list, joiners
}
