package replica

import (
	"context"
	"errors"
	"time"

	"github.com/zeebo/errs"

	"laburnumrouter/internal/process/replica/core"
)

// ErrMembership is the class of the errors of refused membership changes.
var ErrMembership = errs.Class("membership")

const changeRetryPause = 100 * time.Millisecond

// convertCoreError converts core.ErrNotLeader and core.ErrTooMuchPending and wraps any other error in ErrMembership.
func convertCoreError(err error) error {
	if errors.Is(err, core.ErrNotLeader) {
		return ErrNotLeader
	}
	if errors.Is(err, core.ErrTooMuchPending) {
		return ErrOverloaded
	}
	return ErrMembership.Wrap(err)
}

// AddVoter adds a replica as a learner and makes it a voter once it has caught up. It may be called again after a
// failure. Only the leader can make the change.
func (n *Node) AddVoter(ctx context.Context, name, address string) error {
	if err := n.AddLearner(ctx, name, address); err != nil {
		return err
	}
	return n.Promote(ctx, name)
}

// AddLearner adds a replica that receives the log but has no vote. It does nothing if the replica is a member already.
func (n *Node) AddLearner(ctx context.Context, name, address string) error {
	err := n.changeMembership(ctx, func() (uint64, uint64, error) { return n.core.AddLearner(name, address) })
	if errors.Is(err, core.ErrMemberExists) {
		return nil
	}
	return err
}

// Promote makes a learner a voter once it has caught up. It does nothing if the replica is a voter already.
func (n *Node) Promote(ctx context.Context, name string) error {
	err := n.changeMembership(ctx, func() (uint64, uint64, error) { return n.core.Promote(name) })
	if errors.Is(err, core.ErrMemberExists) {
		return nil
	}
	return err
}

// RemoveMember removes a voter or learner. A leader that is to remove itself transfers its leadership instead and
// returns core.ErrRemoveLeader, wrapped; the caller must repeat the call at the new leader.
func (n *Node) RemoveMember(ctx context.Context, name string) error {
	err := n.changeMembership(ctx, func() (uint64, uint64, error) { return n.core.Remove(name) })
	if errors.Is(err, core.ErrRemoveLeader) {
		n.TransferLeadership(ctx)
	}
	return err
}

// changeMembership proposes a membership change and waits until it is committed. It retries while another change is
// in progress or the learner has not caught up.
func (n *Node) changeMembership(ctx context.Context, propose func() (index, term uint64, err error)) error {
	for {
		_, _, err := n.proposeAndWait(ctx, propose)
		if !errors.Is(err, core.ErrChangeInProgress) && !errors.Is(err, core.ErrNotCaughtUp) {
			return err
		}
		select {
		case <-time.After(changeRetryPause):
		case <-ctx.Done():
			return err
		case <-n.stopped:
			return ErrNotLeader
		}
	}
}

// DescribeMembers tells for each other member what this leader knows of its log. It returns nil if this replica doesn't lead, or if ctx
// ends before.
func (n *Node) DescribeMembers(ctx context.Context) []string {
	done := make(chan []string, 1)
	if !n.enqueue(ctx, func() { done <- n.core.DescribeMembers() }) {
		return nil
	}
	select {
	case list := <-done:
		return list
	case <-ctx.Done():
	case <-n.stopped:
	}
	return nil
}

// TransferLeadership transfers leadership to another voter, as before a graceful stop, and waits until that is done or
// ctx ends.
func (n *Node) TransferLeadership(ctx context.Context) {
	for n.Status().IsLeader && len(n.Status().Voters) > 1 {
		n.enqueue(ctx, n.core.TransferLeadership)
		select {
		case <-time.After(retryPause):
		case <-ctx.Done():
			return
		case <-n.stopped:
			return
		}
	}
}
