package main

import (
	"context"
	"fmt"
	"io"
	"strings"

	laburnumv1 "laburnumrouter/proto/laburnum/v1"
)

type votersListCommand struct{}

// Run prints the voters, learners and leader of the control log.
func (v *votersListCommand) Run(cli *commandLine) error {
	resp, err := fleetSummary(&cli.connection)
	if err != nil {
		return err
	}
	output := &laburnumv1.StatusResponse{Node: resp.Node, Leader: resp.Leader, Term: resp.Term, HasQuorum: resp.HasQuorum,
		Voters: resp.Voters, Learners: resp.Learners}
	return cli.print(output, func(w io.Writer) {
		fmt.Fprintf(w, "voters\t%s\nlearners\t%s\nleader\t%s\n", strings.Join(resp.Voters, " "), strings.Join(resp.Learners, " "), resp.Leader)
	})
}

type votersAddCommand struct {
	Node    string `arg:"" help:"Name of the control instance."`
	Address string `arg:"" help:"Its peer address, as IP:port."`
}

// Run adds a voter.
func (v *votersAddCommand) Run(cli *commandLine) error {
	return changeVoters(cli, &laburnumv1.ChangeVotersRequest{AddNode: v.Node, AddAddress: v.Address, By: cli.By})
}

type votersRemoveCommand struct {
	Node string `arg:"" help:"Name of the control instance."`
}

// Run removes a voter.
func (v *votersRemoveCommand) Run(cli *commandLine) error {
	return changeVoters(cli, &laburnumv1.ChangeVotersRequest{RemoveNode: v.Node, By: cli.By})
}

func changeVoters(cli *commandLine, req *laburnumv1.ChangeVotersRequest) error {
	resp, err := call(&cli.connection, func(ctx context.Context, client operatorClient) (*laburnumv1.ChangeVotersResponse, error) {
		return client.ChangeVoters(ctx, req)
	})
	if err != nil {
		return err
	}
	return cli.print(resp, func(w io.Writer) {
		fmt.Fprintf(w, "voters\t%s\n", strings.Join(resp.Voters, " "))
	})
}
