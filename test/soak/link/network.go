// Package link relays the connections between the processes of a soak and injects faults into them: delays, resets, cuts
// in one direction or both, limited rates, and connections that fall silent.
package link

import (
	"sync"
	"time"
)

// Any stands for all processes in a Rule.
const Any = "*"

// Rule is what happens to the bytes that one process sends to another.
type Rule struct {
	From, To string
	// Delay is added to each chunk of bytes.
	Delay time.Duration
	// Cut holds back all bytes, and connections that are being made, until the rule is removed.
	Cut bool
	// BytesPerSecond limits the rate of each connection; 0 means no limit.
	BytesPerSecond int
}

func (r *Rule) matches(from, to string) bool {
	return (r.From == Any || r.From == from) && (r.To == Any || r.To == to)
}

// Network holds the rules in force and the open connections.
type Network struct {
	mu     sync.Mutex
	cond   *sync.Cond
	rules  []*Rule
	pipes  map[*pipe]bool
	closed bool
	// refused holds the addresses of the connections whose target did not accept them, reached those of all others. An
	// address can be used again while its last user still has to notice the end of its connection.
	refused, reached map[string]bool
}

// NewNetwork returns a network without rules.
func NewNetwork() *Network {
	n := &Network{pipes: make(map[*pipe]bool), refused: make(map[string]bool), reached: make(map[string]bool)}
	n.cond = sync.NewCond(&n.mu)
	return n
}

// Add puts a rule in force and returns the function that removes it.
func (n *Network) Add(r Rule) (remove func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	rule := &r
	n.rules = append(n.rules, rule)
	return func() {
		n.mu.Lock()
		defer n.mu.Unlock()
		for i := range n.rules {
			if n.rules[i] == rule {
				n.rules = append(n.rules[:i], n.rules[i+1:]...)
				break
			}
		}
		n.cond.Broadcast()
	}
}

// Reset closes the open connections between two processes with a TCP reset.
func (n *Network) Reset(a, b string) {
	for _, p := range n.between(a, b) {
		p.reset()
	}
}

// Silence holds back all further bytes of the open connections between two processes for good. New connections work.
func (n *Network) Silence(a, b string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for p := range n.pipes {
		if p.connects(a, b) {
			p.silent = true
		}
	}
}

// Refused reports whether the target did not accept a connection, so that nothing that was sent on it has arrived. The
// address is that of the connection's other end.
func (n *Network) Refused(address string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.refused[address] && !n.reached[address]
}

func (n *Network) refuse(p *pipe) {
	n.mu.Lock()
	n.refused[p.near.RemoteAddr().String()] = true
	n.mu.Unlock()
	p.reset()
}

func (n *Network) reach(p *pipe) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.reached[p.near.RemoteAddr().String()] = true
}

// Close ends all connections.
func (n *Network) Close() {
	n.mu.Lock()
	n.closed = true
	n.cond.Broadcast()
	n.mu.Unlock()
	for _, p := range n.between(Any, Any) {
		p.close()
	}
}

func (n *Network) between(a, b string) []*pipe {
	n.mu.Lock()
	defer n.mu.Unlock()
	var list []*pipe
	for p := range n.pipes {
		if p.connects(a, b) {
			list = append(list, p)
		}
	}
	return list
}

func (n *Network) add(p *pipe) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed {
		return false
	}
	n.pipes[p] = true
	return true
}

func (n *Network) remove(p *pipe) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.pipes, p)
	n.cond.Broadcast()
}

// pass waits until bytes of a connection may pass, and returns the delay and the rate that apply. It returns false once
// the connection or the network is closed.
func (n *Network) pass(p *pipe, from, to string) (delay time.Duration, rate int, ok bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for !n.closed && n.pipes[p] && (p.silent || n.cutLocked(from, to)) {
		n.cond.Wait()
	}
	for _, r := range n.rules {
		if r.matches(from, to) {
			delay += r.Delay
			if r.BytesPerSecond > 0 && (rate == 0 || r.BytesPerSecond < rate) {
				rate = r.BytesPerSecond
			}
		}
	}
	return delay, rate, !n.closed && n.pipes[p]
}

func (n *Network) cutLocked(from, to string) bool {
	for _, r := range n.rules {
		if r.Cut && r.matches(from, to) {
			return true
		}
	}
	return false
}
