package entry

import (
	"context"
	"slices"
	"time"

	"laburnumrouter/internal/connection/peer"
	"laburnumrouter/internal/process/directory"
	"laburnumrouter/internal/process/escrow"
	"laburnumrouter/internal/process/membership"
	"laburnumrouter/internal/process/viewsync"
	laburnumv1 "laburnumrouter/proto/laburnum/v1"
)

const (
	exchangeInterval = 500 * time.Millisecond
	// roundsPerRemoteExchange: the relay of each data centre (see membership.Table.Relay) exchanges with the relays of the
	// others in every roundsPerRemoteExchange-th round, and in rounds that spread a withdrawal at once.
	roundsPerRemoteExchange = 2
	instanceRetention       = time.Minute
)

// gossip is the state of the exchanges with the other entries: the log of the views that instances announced here, and
// mirrors of the logs of the other entries of the data centre. Exchanges also carry heartbeats and withdrawals of keys.
type gossip struct {
	ownViews *viewsync.Log
	mirrors  map[string]*viewsync.Mirror // by peer of the own data centre
	// urgent wakes the exchange loop when a withdrawal must spread at once.
	urgent chan struct{}
}

func newGossip(generation uint64, now time.Time, peers []*peer.Peer, dataCentre string) *gossip {
	g := &gossip{
		ownViews: viewsync.NewLog(generation, now),
		mirrors:  make(map[string]*viewsync.Mirror),
		urgent:   make(chan struct{}, 1),
	}
	for _, p := range peers {
		if p.DataCentre == dataCentre {
			g.mirrors[p.Name] = viewsync.NewMirror()
		}
	}
	return g
}

// exchangeNow starts the next round of exchanges at once.
func (g *gossip) exchangeNow() {
	select {
	case g.urgent <- struct{}{}:
	default:
	}
}

// exchangeLoop exchanges with the other entries of the data centre and, while this entry is the relay of its data
// centre, with the relays of the others.
func (e *Entry) exchangeLoop(ctx context.Context) error {
	ticker := time.NewTicker(exchangeInterval)
	defer ticker.Stop()
	for round := 0; ; round++ {
		urgent := false
		select {
		case <-ticker.C:
		case <-e.gossip.urgent:
			urgent = true
		case <-ctx.Done():
			return nil
		}
		e.exchangeRound(ctx, urgent || round%roundsPerRemoteExchange == 0)
	}
}

func (e *Entry) exchangeRound(ctx context.Context, remote bool) {
	now := e.now()
	e.gossip.ownViews.Expire(now.Add(-directory.ViewLifetime), now)
	e.directory.Expire(now.Add(-instanceRetention))
	relay := e.members.Relay(e.settings.DataCentre, now) == e.settings.Name
	for _, p := range e.entries {
		local := p.DataCentre == e.settings.DataCentre
		if local || (remote && relay && e.isRelay(p, now)) {
			go e.exchange(ctx, p)
		}
	}
}

// isRelay reports whether p is the relay of its data centre. As long as no entry of a data centre has been heard, all
// of them are tried.
func (e *Entry) isRelay(p *peer.Peer, now time.Time) bool {
	relay := e.members.Relay(p.DataCentre, now)
	return relay == "" || relay == p.Name
}

func (e *Entry) exchange(ctx context.Context, p *peer.Peer) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	mirror := e.gossip.mirrors[p.Name]
	req := &laburnumv1.ExchangeRequest{
		Node:         e.settings.Name,
		DataCentre:   e.settings.DataCentre,
		Incarnation:  e.members.Incarnation(),
		Withdrawals:  e.store.PendingWithdrawals(),
		InForceIndex: e.store.View().Index,
		Uses:         e.grantsInUseFor(p.DataCentre, e.now()),
	}
	if mirror != nil {
		req.Cursor = mirror.Cursor()
	}
	asked := e.now()
	resp, err := p.Gossip.Exchange(ctx, req)
	if err != nil {
		e.escrowMember.recordExchangeFailure(p.Name, err, e.now())
		e.log.Debug("exchange failed", "peer", p.Name, "error", err)
		return
	}
	if e.members.Refute(resp.KnownIncarnation) {
		e.log.Warn("clock went back since the last start; taking a higher incarnation", "peer", p.Name, "incarnation", e.members.Incarnation())
	}
	e.recordHeartbeat(p.Name, resp.Node, resp.DataCentre, resp.Incarnation, resp.InForceIndex)
	e.applyWithdrawals(resp.Withdrawals)
	if mirror != nil && resp.Instances != nil {
		mirror.Apply(resp.Instances, asked, e.directory)
	}
}

// recordHeartbeat records a heartbeat of a peer and returns the highest known incarnation of the sender. A process that
// answers at a peer's address under another name is logged and not counted as that peer.
func (e *Entry) recordHeartbeat(expected, node, dataCentre string, incarnation, inForce uint64) uint64 {
	beat := membership.Heartbeat{Name: node, DataCentre: dataCentre, Incarnation: incarnation, InForceIndex: inForce}
	verdict, known := e.members.Heard(beat, e.now())
	e.escrowMember.recordContact(node, e.now())
	switch {
	case verdict == membership.Unlisted || (expected != "" && node != expected):
		e.log.Warn("heartbeat of a process that the settings do not list", "expected", expected, "node", node, "data_centre", dataCentre)
	case verdict == membership.Restarted:
		e.log.Info("member restarted", "member", node, "incarnation", incarnation)
	case verdict == membership.Stale:
		e.log.Warn("heartbeat of an earlier incarnation", "member", node, "incarnation", incarnation, "known", known)
	}
	return known
}

// applyWithdrawals withdraws the keys that a peer reports as withdrawn, and passes new withdrawals on at once.
func (e *Entry) applyWithdrawals(list []*laburnumv1.KeyWithdrawal) {
	for _, w := range list {
		if e.store.InvalidateKey(w) {
			e.log.Info("key withdrawn", "by", w.By)
			e.gossip.exchangeNow()
		}
	}
}

// shareAnnouncement records what an instance announced to this entry, to be sent to other entries and to control.
func (e *Entry) shareAnnouncement(announced *laburnumv1.InstanceView, now time.Time) {
	a := e.store.View().Assignment(announced.Instance)
	steady := a.GetState() == laburnumv1.AssignmentState_ASSIGNMENT_STATE_ASSIGNED && !announced.Leaving
	projected := viewsync.Project(announced, !steady, e.entryProcesses(now))
	e.gossip.ownViews.Record(projected, now)
}

// entryProcesses returns the entries of the data centre, sorted: "<entry>.<incarnation>" for live ones, "<entry>"
// for those that are dead or have not been heard.
func (e *Entry) entryProcesses(now time.Time) []string {
	list := []string{e.memberID()}
	for _, m := range e.members.DataCentre(e.settings.DataCentre) {
		l := m.Liveness(now)
		if l == membership.Dead || l == membership.Unheard {
			list = append(list, m.Name)
			continue
		}
		list = append(list, escrow.HolderID(m.Name, m.Incarnation))
	}
	slices.Sort(list)
	return list
}

// gossipServer serves the exchanges of other entries.
type gossipServer struct {
	entry *Entry
}

// Exchange implements GossipService.
func (g *gossipServer) Exchange(_ context.Context, req *laburnumv1.ExchangeRequest) (*laburnumv1.ExchangeResponse, error) {
	e := g.entry
	known := e.recordHeartbeat("", req.Node, req.DataCentre, req.Incarnation, req.InForceIndex)
	e.applyWithdrawals(req.Withdrawals)
	e.mergeGrantsInUse(req.Uses, e.now())
	resp := &laburnumv1.ExchangeResponse{
		Node:             e.settings.Name,
		DataCentre:       e.settings.DataCentre,
		Incarnation:      e.members.Incarnation(),
		Withdrawals:      e.store.PendingWithdrawals(),
		InForceIndex:     e.store.View().Index,
		KnownIncarnation: known,
	}
	if req.Cursor != nil {
		resp.Instances = e.gossip.ownViews.Since(req.Cursor, e.now(), directory.ViewLifetime)
	}
	return resp, nil
}
