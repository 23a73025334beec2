// Package replication sends the messages of a replicated log to the log's other members.
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
	// stepTimeout bounds one Step call, which delivers a batch of messages. After a timeout the peer is dialled again,
	// before an election timeout has passed.
	stepTimeout = 600 * time.Millisecond
	// maxQueuedMessages bounds the queue to one peer. When it is full, the queued messages are dropped; the log sends them
	// again.
	maxQueuedMessages = 256
)

// Links holds one link to each other member. It is safe for concurrent use.
type Links struct {
	dial            func() *peer.Dialer
	configuredPeers map[string]settings.Peer // by member name; their addresses take precedence over those in the log

	mu    sync.Mutex
	links map[string]*link
}

// NewLinks returns links without connections; dial returns the dialer for each new connection. The addresses of peers
// take precedence over those in the log.
func NewLinks(dial func() *peer.Dialer, peers []settings.Peer) *Links {
	t := &Links{dial: dial, configuredPeers: make(map[string]settings.Peer), links: make(map[string]*link)}
	for _, p := range peers {
		t.configuredPeers[p.Name] = p
	}
	return t
}

// link is the connection to one peer and the queue of messages to it. It sends one batch at a time, in order.
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

// Peer returns the current connection to a member, or nil if its address isn't known.
func (t *Links) Peer(to *laburnumv1.Member) *peer.Peer {
	if l := t.link(to); l != nil {
		return l.currentPeer()
	}
	return nil
}

// link returns the link to a member, or nil if its address isn't known.
func (t *Links) link(to *laburnumv1.Member) *link {
	address := to.Address
	if known, ok := t.configuredPeers[to.Name]; ok {
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

// enqueue queues messages and starts a sender goroutine unless one is running.
func (l *link) enqueue(messages []*laburnumv1.ReplicaMessage) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.queue)+len(messages) > maxQueuedMessages {
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

// redial replaces the connection, which may be dead, by a new one.
func (l *link) redial() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.peer = l.dial().Peer(settings.Peer{Address: l.address})
}

// currentPeer returns the peer with its current connection.
func (l *link) currentPeer() *peer.Peer {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.peer
}
