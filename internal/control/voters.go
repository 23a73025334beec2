package control

import (
	"context"
	"errors"
	"net/netip"
	"time"

	"connectrpc.com/connect"

	"laburnumrouter/internal/process/replica"
	laburnumv1 "laburnumrouter/proto/laburnum/v1"
)

// leadershipTransferTimeout limits the wait for another instance to take over leadership at a graceful stop.
const leadershipTransferTimeout = time.Second

// transferLeadershipOnStop hands leadership over to another instance when a graceful stop begins, while this instance can
// still be reached.
func (c *Control) transferLeadershipOnStop(stop, background context.Context) error {
	select {
	case <-stop.Done():
	case <-background.Done():
	}
	ctx, cancel := context.WithTimeout(context.Background(), leadershipTransferTimeout)
	defer cancel()
	c.replica.TransferLeadership(ctx)
	return nil
}

// firstVoters returns the voters of a new control log: this instance and the control instances in the settings. It
// returns none for an instance that joins an existing log.
func firstVoters(s *Settings) []*laburnumv1.Member {
	if s.Join {
		return nil
	}
	voters := []*laburnumv1.Member{{Name: s.Name, Address: s.PeerListen}}
	for _, p := range s.Controls {
		voters = append(voters, &laburnumv1.Member{Name: p.Name, Address: p.Address})
	}
	return voters
}

// ChangeVoters implements OperatorService. A new voter starts as a learner until it has caught up with the log. The call
// may be repeated after an error.
func (o *operatorServer) ChangeVoters(ctx context.Context, req *laburnumv1.ChangeVotersRequest) (*laburnumv1.ChangeVotersResponse, error) {
	if err := checkChange(req); err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	node := o.control.replica
	var err error
	if req.AddNode != "" {
		err = node.AddVoter(ctx, req.AddNode, req.AddAddress)
	} else {
		err = node.RemoveMember(ctx, req.RemoveNode)
	}
	o.control.log.Info("voter change requested", "add", req.AddNode, "remove", req.RemoveNode, "by", req.By, "error", err)
	switch {
	case err == nil:
		o.recordVoterChange(ctx, req)
		return &laburnumv1.ChangeVotersResponse{Voters: node.Status().Voters}, nil
	case errors.Is(err, replica.ErrNotLeader):
		err = Error.New("this instance does not lead the control log; the leader is %q", node.Status().Leader)
		return nil, connect.NewError(connect.CodeUnavailable, err)
	case replica.ErrMembership.Has(err):
		return nil, connect.NewError(connect.CodeFailedPrecondition, err)
	}
	return nil, connect.NewError(connect.CodeUnavailable, err)
}

// recordVoterChange commits a decision to the log that records which operator changed the voters.
func (o *operatorServer) recordVoterChange(ctx context.Context, req *laburnumv1.ChangeVotersRequest) {
	d := &laburnumv1.Decision{Subject: "voter/" + req.AddNode, Action: "added", Reason: "asked at address " + req.AddAddress}
	if req.AddNode == "" {
		d = &laburnumv1.Decision{Subject: "voter/" + req.RemoveNode, Action: "removed", Reason: "asked by an operator"}
	}
	if _, err := o.propose(ctx, &laburnumv1.Command{By: req.By, Decisions: []*laburnumv1.Decision{d}}); err != nil {
		o.control.log.Warn("voter change not recorded", "subject", d.Subject, "by", req.By, "error", err)
	}
}

func checkChange(req *laburnumv1.ChangeVotersRequest) error {
	if (req.AddNode == "") == (req.RemoveNode == "") {
		return Error.New("name exactly one instance, either to add or to remove")
	}
	if req.AddNode == "" {
		return nil
	}
	if _, err := netip.ParseAddrPort(req.AddAddress); err != nil {
		return Error.New("the address of the instance to add is not an IP address with a port: %v", err)
	}
	return nil
}
