// Package replication sends the messages of a replicated log to the log's other members.
package replication

import (
	"sync"

	"github.com/hashicorp/go-hclog"

	"laburnumrouter/internal/connection/peer"
	"laburnumrouter/internal/process/settings"
	laburnumv1 "laburnumrouter/proto/laburnum/v1"
)

// Links holds one link to each other member. It is safe for concurrent use.
type Links struct {
	dial            func() *peer.Dialer
	configuredPeers map[string]settings.Peer // by member name; their addresses take precedence over those in the log
	queueBytes      int
	log             hclog.Logger

	mu    sync.Mutex
	links map[string]*link
}

// NewLinks returns links without connections; dial returns the dialer for each new connection. The addresses of peers
// take precedence over those in the log. queueBytes bounds what is queued for one member; 0 means no limit in bytes. A single
// larger batch is still sent.
func NewLinks(dial func() *peer.Dialer, peers []settings.Peer, queueBytes int) *Links {
	t := &Links{dial: dial, queueBytes: queueBytes, log: hclog.NewNullLogger(), configuredPeers: make(map[string]settings.Peer), links: make(map[string]*link)}
	for _, p := range peers {
		t.configuredPeers[p.Name] = p
	}
	return t
}

// LogTo makes the links log the streams that fail. It must be called before they are used.
func (t *Links) LogTo(log hclog.Logger) { t.log = log }

// Send queues messages for a member; it never blocks.
func (t *Links) Send(to *laburnumv1.Member, messages []*laburnumv1.ReplicaMessage) {
	if l := t.link(to); l != nil {
		l.enqueue(messages)
	}
}

// Peer returns the current connection to a member, or nil if its address isn't known.
func (t *Links) Peer(to *laburnumv1.Member) *peer.Peer {
	if l := t.link(to); l != nil {
		calls, _, _ := l.peers()
		return calls
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
		l = newLink(address, t.dial, t.queueBytes)
		l.log = t.log
		t.links[to.Name] = l
	}
	return l
}
