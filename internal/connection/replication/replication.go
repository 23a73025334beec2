// Package replication carries the messages of a replicated log between its members.
package replication

import (
	"context"
	"sync"
	"time"

	"laburnumrouter/internal/connection/peer"
	"laburnumrouter/internal/process/settings"
	laburnumv1 "laburnumrouter/proto/laburnum/v1"
)

const (
	// stepTimeout is the longest wait for a peer to take messages. A link that exceeds it is dialled anew,
	// before an election timeout has passed.
	stepTimeout = 600 * time.Millisecond
	// maxQueued bounds the messages that wait for a peer; further ones are dropped, and the log sends again.
	maxQueued = 256
)

// Links are the ways to the other members. It is safe for concurrent use.
type Links struct {
	dial     func() *peer.Dialer
	settings map[string]settings.Peer // addresses by name; they go before those in the log

	mu    sync.Mutex
	links map[string]*link
}

// NewLinks returns links that are made by dial. The addresses of peers go before those in the log.
func NewLinks(dial func() *peer.Dialer, peers []settings.Peer) *Links {
	t := &Links{dial: dial, settings: make(map[string]settings.Peer), links: make(map[string]*link)}
	for _, p := range peers {
		t.settings[p.Name] = p
	}
	return t
}

// link is the way to one peer. Its messages travel one batch at a time, in order.
type link struct {
	address string
	dial    func() *peer.Dialer

	mu      sync.Mutex
	peer    *peer.Peer
	queue   []*laburnumv1.ReplicaMessage
	sending bool
}

// Send queues messages for a member; it never blocks.
func (t *Links) Send(to *laburnumv1.Member, messages []*laburnumv1.ReplicaMessage) {
	if l := t.link(to); l != nil {
		l.enqueue(messages)
	}
}

// Peer returns the present connection to a member, or nil if its address isn't known.
func (t *Links) Peer(to *laburnumv1.Member) *peer.Peer {
	if l := t.link(to); l != nil {
		return l.current()
	}
	return nil
}

// link returns the way to a member, or nil if its address isn't known.
func (t *Links) link(to *laburnumv1.Member) *link {
	address := to.Address
	if known, ok := t.settings[to.Name]; ok {
		address = known.Address
	}
	if address == "" {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	l := t.links[to.Name]
	if l == nil || l.address != address {
		l = &link{address: address, dial: t.dial}
		l.redial()
		t.links[to.Name] = l
	}
	return l
}

// enqueue adds messages and starts a sender if none is at work.
func (l *link) enqueue(messages []*laburnumv1.ReplicaMessage) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.queue)+len(messages) > maxQueued {
		l.queue = nil
	}
	l.queue = append(l.queue, messages...)
	if !l.sending {
		l.sending = true
		go l.sendQueued()
	}
}

// sendQueued sends until the queue is empty.
func (l *link) sendQueued() {
	for {
		l.mu.Lock()
		batch := l.queue
		l.queue = nil
		l.sending = len(batch) > 0
		p := l.peer
		l.mu.Unlock()
		if len(batch) == 0 {
			return
		}
		l.step(p, batch)
	}
}

func (l *link) step(p *peer.Peer, batch []*laburnumv1.ReplicaMessage) {
	ctx, cancel := context.WithTimeout(context.Background(), stepTimeout)
	defer cancel()
	_, err := p.Replica.Step(ctx, &laburnumv1.StepRequest{Messages: batch})
	if err != nil && ctx.Err() != nil {
		l.redial()
	}
}

// redial gives up the connection, which may have gone silent for good, for a new one.
func (l *link) redial() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.peer = l.dial().Peer(settings.Peer{Address: l.address})
}

// current returns the peer under its present connection.
func (l *link) current() *peer.Peer {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.peer
}
