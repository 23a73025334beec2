package replica

import (
	"context"
	"errors"
	"time"

	"github.com/zeebo/errs"

	"laburnumrouter/internal/process/replica/core"
)

// ErrMembership is the class of refused membership changes.
var ErrMembership = errs.Class("membership")

const changePause = 100 * time.Millisecond

// asNotLeader turns the core's error for a replica that does not lead into this package's.
func asNotLeader(err error) error {
	if errors.Is(err, core.ErrNotLeader) {
		return ErrNotLeader
	}
	return ErrMembership.Wrap(err)
}

// AddVoter adds a replica as a learner and makes it a voter once it has caught up. It may be called again
// after a failure. Only the leader takes it.
func (n *Node) AddVoter(ctx context.Context, name, address string) error {
	if err := n.AddLearner(ctx, name, address); err != nil {
		return err
	}
	return n.Promote(ctx, name)
}

// AddLearner adds a replica that gets the log but has no vote. One that is a member already is no error.
func (n *Node) AddLearner(ctx context.Context, name, address string) error {
	err := n.change(ctx, func() (uint64, uint64, error) { return n.core.AddLearner(name, address) })
	if errors.Is(err, core.ErrMemberExists) {
		return nil
	}
	return err
}

// Promote makes a learner a voter once it has caught up.
func (n *Node) Promote(ctx context.Context, name string) error {
	err := n.change(ctx, func() (uint64, uint64, error) { return n.core.Promote(name) })
	if errors.Is(err, core.ErrMemberExists) {
		return nil
	}
	return err
}

// RemoveMember removes a voter or learner. The leader hands over its leadership instead of removing itself.
func (n *Node) RemoveMember(ctx context.Context, name string) error {
	err := n.change(ctx, func() (uint64, uint64, error) { return n.core.Remove(name) })
	if errors.Is(err, core.ErrRemoveLeader) {
		n.Handover(ctx)
	}
	return err
}

// change proposes a membership change until it can be taken, and waits until it is committed.
func (n *Node) change(ctx context.Context, propose func() (index, term uint64, err error)) error {
	for {
		_, _, err := n.submit(ctx, propose)
		if !errors.Is(err, core.ErrChangeInProgress) && !errors.Is(err, core.ErrNotCaughtUp) {
			return err
		}
		select {
		case <-time.After(changePause):
		case <-ctx.Done():
			return err
		case <-n.dead:
			return ErrNotLeader
		}
	}
}

// Handover passes leadership on, before a graceful stop, and waits until that has happened or ctx ends.
func (n *Node) Handover(ctx context.Context) {
	for n.Status().IsLeader && len(n.Status().Voters) > 1 {
		n.call(ctx, n.core.TransferLeadership)
		select {
		case <-time.After(retryPause):
		case <-ctx.Done():
			return
		case <-n.dead:
			return
		}
	}
}
