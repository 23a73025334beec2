// Package feed replicates accepted changes between processes, in order and without gaps.
//
// A Store keeps the accepted state and the latest changes. Control instances fill it from the control log. Entry
// instances fetch from a control instance or from another entry instance, usually the relay of their data centre.
package feed

import (
	"context"
	"sort"
	"sync"
	"sync/atomic"

	"github.com/zeebo/errs"

	"laburnumrouter/internal/version/state"
	"laburnumrouter/internal/version/view"
	laburnumv1 "laburnumrouter/proto/laburnum/v1"
)

// Error is the class of all errors of this package.
var Error = errs.Class("feed")

// maxRetainedChanges limits the changes that are kept for lagging peers; a peer that lags further gets a snapshot.
const maxRetainedChanges = 4096

// Store holds the accepted state of a process. It is safe for concurrent use.
type Store struct {
	mu           sync.Mutex
	state        *state.State
	retained     []*laburnumv1.Change
	trimmedIndex uint64 // changes up to and including this index are no longer kept
	changed      chan struct{}
	view         atomic.Pointer[view.View]
	pending      map[state.KeyDigest]*laburnumv1.KeyWithdrawal // withdrawals not yet known to be committed
}

// NewStore returns a store at index 0.
func NewStore() *Store {
	s := &Store{
		state:   state.New(),
		changed: make(chan struct{}),
		pending: make(map[state.KeyDigest]*laburnumv1.KeyWithdrawal),
	}
	s.view.Store(view.Compile(s.state))
	return s
}

// View returns the compiled view of the current state.
func (s *Store) View() *view.View { return s.view.Load() }

// Read calls f with the state while it holds the store's lock. f must not keep or modify the state.
func (s *Store) Read(f func(*state.State)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(s.state)
}

// Advance applies changes and moves the store to index. It skips changes that are already applied.
func (s *Store) Advance(changes []*laburnumv1.Change, index uint64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if index <= s.state.Index {
		return nil
	}
	newChanges := changes[firstChangeAfter(changes, s.state.Index):]
	for _, c := range newChanges {
		if err := s.state.ApplyChange(c); err != nil {
			return Error.Wrap(err)
		}
		s.removePending(c.GetWithdrawal())
	}
	s.retained = append(s.retained, newChanges...)
	s.state.Index = index
	s.trimRetained()
	s.publish(s.view.Load().Next(s.state, newChanges))
	return nil
}

// firstChangeAfter returns the position of the first change whose index is higher than index.
func firstChangeAfter(changes []*laburnumv1.Change, index uint64) int {
	return sort.Search(len(changes), func(i int) bool { return changes[i].Index > index })
}

// removePending removes a withdrawal that the log has committed, so that it is no longer spread.
func (s *Store) removePending(w *laburnumv1.KeyWithdrawal) {
	if digest, ok := state.DigestOf(w.GetSha256()); ok {
		delete(s.pending, digest)
	}
}

// Restore replaces the state by a later snapshot; an older one is ignored.
func (s *Store) Restore(snap *laburnumv1.AcceptedState) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if snap.GetIndex() <= s.state.Index {
		return nil
	}
	if err := s.state.Restore(snap); err != nil {
		return Error.Wrap(err)
	}
	for _, w := range snap.GetWithdrawals() {
		s.removePending(w)
	}
	s.retained = nil
	s.trimmedIndex = snap.GetIndex()
	s.publish(view.Compile(s.state))
	return nil
}

// InvalidateKey makes a key invalid in this process at once, before the log has committed the withdrawal.
// It returns false if the withdrawal was already known or its digest is malformed.
func (s *Store) InvalidateKey(w *laburnumv1.KeyWithdrawal) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	digest, ok := state.DigestOf(w.GetSha256())
	if !ok || s.state.Withdrawn[digest] != nil {
		return false
	}
	s.state.Withdrawn[digest] = w
	s.pending[digest] = w
	s.publish(s.view.Load().WithWithdrawal(digest))
	return true
}

// PendingWithdrawals returns the withdrawals to spread to other processes, as they are not yet known to be committed.
func (s *Store) PendingWithdrawals() []*laburnumv1.KeyWithdrawal {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := make([]*laburnumv1.KeyWithdrawal, 0, len(s.pending))
	for _, w := range s.pending {
		list = append(list, w)
	}
	return list
}

// Fetch returns the changes with an index above after, or a snapshot if they are no longer retained. If there are none
// yet, it waits for one; if ctx ends first, it returns a response without changes.
func (s *Store) Fetch(ctx context.Context, after uint64) *laburnumv1.FetchResponse {
	for {
		resp, changed := s.changesSince(after)
		if resp != nil {
			return resp
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return &laburnumv1.FetchResponse{Index: after}
		}
	}
}

// changesSince returns the changes after an index, or a snapshot if they are no longer retained. If there are none, it
// returns nil and a channel that is closed on the next change.
func (s *Store) changesSince(after uint64) (*laburnumv1.FetchResponse, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.state.Index <= after {
		return nil, s.changed
	}
	if after < s.trimmedIndex {
		return &laburnumv1.FetchResponse{Snapshot: s.state.Snapshot(), Index: s.state.Index}, nil
	}
	resp := &laburnumv1.FetchResponse{Index: s.state.Index}
	resp.Changes = append(resp.Changes, s.retained[firstChangeAfter(s.retained, after):]...)
	return resp, nil
}

// trimRetained drops the older half of the changes once there are too many. The changes of one log entry are dropped
// together.
func (s *Store) trimRetained() {
	if len(s.retained) <= maxRetainedChanges {
		return
	}
	cut := len(s.retained) / 2
	s.trimmedIndex = s.retained[cut-1].Index
	for cut < len(s.retained) && s.retained[cut].Index == s.trimmedIndex {
		cut++
	}
	s.retained = append([]*laburnumv1.Change(nil), s.retained[cut:]...)
}

// publish makes v the current view and wakes the waiting fetches.
func (s *Store) publish(v *view.View) {
	s.view.Store(v)
	close(s.changed)
	s.changed = make(chan struct{})
}
