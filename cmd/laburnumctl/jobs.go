package main

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"github.com/hashicorp/go-hclog"

	"laburnumrouter/internal/dispatch"
	"laburnumrouter/internal/leader"
	"laburnumrouter/internal/request/ledger"
	"laburnumrouter/platform"
)

// jobsExplainCommand is the command "jobs explain", for control instances in mode jobs.
type jobsExplainCommand struct {
	ID string `arg:"" help:"Id of the job, or the name of a task of it."`
}

// jobsCheckCommand is the command "jobs check", for control instances in mode jobs.
type jobsCheckCommand struct {
	File string `arg:"" type:"existingfile" help:"Configuration, as operators send it to the control instances."`
}

// jobsStatusCommand is the command "jobs status", for control instances in mode jobs.
type jobsStatusCommand struct{}

// jobsEvacuateCommand is the command "jobs evacuate", for control instances in mode jobs.
type jobsEvacuateCommand struct {
	DataCentre string `arg:"" help:"Name of the data centre."`
}

// jobsRestoreCommand is the command "jobs restore", for control instances in mode jobs.
type jobsRestoreCommand struct {
	DataCentre string `arg:"" help:"Name of the data centre."`
}

// callLeader sends a call to the leader of the control instances, which must run in mode jobs.
func (c *commandLine) callLeader(call *dispatch.Call) (*dispatch.Reply, error) {
	if len(c.Control) == 0 {
		return nil, errUnavailable.New("no control instance is named; use --control")
	}
	ctx, cancel := context.WithTimeout(context.Background(), c.Timeout)
	defer cancel()
	reply := leader.NewClient(c.Control, nil, hclog.NewNullLogger()).Do(ctx, call)
	switch reply.Outcome {
	case dispatch.OK:
		return reply, nil
	case dispatch.Unavailable, dispatch.OutcomeUnknown:
		return nil, errUnavailable.New("%s", reply.Reason)
	}
	return nil, fmt.Errorf("%s: %s", reply.Outcome, reply.Reason)
}

// Run prints the job's state, its steps and the most recent runs that ended without success.
func (e *jobsExplainCommand) Run(cli *commandLine) error {
	id, _, _ := strings.Cut(e.ID, ".")
	reply, err := cli.callLeader(&dispatch.Call{Op: dispatch.OpExplain, Path: id})
	if err != nil {
		return err
	}
	jobs := append([]*dispatch.JobView{reply.Job}, reply.Namesakes...)
	return cli.print(jobsOrOne(jobs), func(w io.Writer) {
		for i, j := range jobs {
			if i > 0 {
				fmt.Fprintln(w)
			}
			renderJob(w, j)
		}
	})
}

// jobsOrOne returns the jobs with an ID as the output has them: a list only if there are several.
func jobsOrOne(jobs []*dispatch.JobView) any {
	if len(jobs) == 1 {
		return jobs[0]
	}
	return jobs
}

// Run prints what a configuration would leave without a queue or a workspace.
func (c *jobsCheckCommand) Run(cli *commandLine) error {
	data, err := os.ReadFile(c.File)
	if err != nil {
		return err
	}
	config, err := platform.DecodeConfig(data)
	if err != nil {
		return err
	}
	cli.requestBytes = len(data)
	reply, err := cli.callLeader(&dispatch.Call{Op: dispatch.OpCheckConfig, Config: config})
	if err != nil {
		return err
	}
	return cli.print(reply.Status, func(w io.Writer) { renderOrphaned(w, reply.Status) })
}

// renderOrphaned prints the jobs without a queue and without their workspace.
func renderOrphaned(w io.Writer, s *dispatch.StatusView) {
	if len(s.Unrouted) > 0 {
		fmt.Fprintln(w, "\nNO QUEUE AT HOST\tPREFIX\tIT WAS\tJOBS\tRUNS")
	}
	for _, v := range s.Unrouted {
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%d\n", cmp.Or(v.Host, "-"), cmp.Or(v.Prefix, "-"), v.Queue, v.Jobs, v.Runs)
	}
	if len(s.Unowned) > 0 {
		fmt.Fprintln(w, "\nNO TEAM NAMED\tJOBS\tRUNS")
	}
	for _, v := range s.Unowned {
		fmt.Fprintf(w, "%s\t%d\t%d\n", v.Workspace, v.Jobs, v.Runs)
	}
}

func renderJob(w io.Writer, j *dispatch.JobView) {
	fmt.Fprintf(w, "JOB\t%s\nSUBMITTED AT\t%s%s\nQUEUE\t%s\nTEAM\t%s\nSTATE\t%s\n", j.ID, j.Host, j.Prefix, cmp.Or(j.Queue, "none"), j.Workspace, j.State)
	fmt.Fprintf(w, "ACCEPTED\t%s\nFIRST START\t%s\nFINISHED\t%s\nRUNS\t%d\n", formatUnixMS(j.AcceptedMS), formatUnixMS(j.FirstStartMS), formatUnixMS(j.FinishedMS), j.Runs)
	if len(j.Steps) > 0 {
		fmt.Fprintln(w, "\nOCCURRENCE\tSTEP\tTASKS\tDONE\tRUNNING ON\tWAITS")
	}
	for _, s := range j.Steps {
		fmt.Fprintf(w, "%d\t%d\t%d\t%d\t%s\t%s\n", s.Occurrence, s.Step, s.Count, s.Done, strings.Join(s.Running, ","), s.Waits)
	}
	if len(j.Ends) > 0 {
		fmt.Fprintln(w, "\nENDED\tTASK\tRUN\tSERVER\tHOW")
	}
	for _, n := range j.Ends {
		fmt.Fprintf(w, "%s\t%s\t%d\t%s\t%s\n", formatUnixMS(n.AtMS), n.Task, n.Run, n.Worker, describeEnd(n))
	}
}

// Run evacuates the data centre and waits for the commit.
func (e *jobsEvacuateCommand) Run(cli *commandLine) error {
	return cli.orderEvacuation(&ledger.EvacuationOrder{DataCentre: e.DataCentre, Evacuate: true})
}

// Run restores the data centre and waits for the commit.
func (r *jobsRestoreCommand) Run(cli *commandLine) error {
	return cli.orderEvacuation(&ledger.EvacuationOrder{DataCentre: r.DataCentre})
}

func (c *commandLine) orderEvacuation(o *ledger.EvacuationOrder) error {
	reply, err := c.callLeader(&dispatch.Call{Op: dispatch.OpEvacuate, Evacuation: o})
	if err != nil {
		return err
	}
	state := "restored"
	if o.Evacuate {
		state = "evacuated"
	}
	return c.print(reply, func(w io.Writer) { fmt.Fprintf(w, "%s\t%s\n", o.DataCentre, state) })
}

// Run prints the state of the fleet.
func (*jobsStatusCommand) Run(cli *commandLine) error {
	reply, err := cli.callLeader(&dispatch.Call{Op: dispatch.OpStatus})
	if err != nil {
		return err
	}
	return cli.print(reply.Status, func(w io.Writer) { renderStatus(w, reply.Status) })
}

func renderStatus(w io.Writer, s *dispatch.StatusView) {
	fmt.Fprintf(w, "LEADER\t%s\nTERM\t%d\nCONFIGURATION\t%d\nOPEN JOBS\t%d\n", s.Leader, s.Term, s.Version, s.Open)
	fmt.Fprintln(w, "\nPOOL\tSERVERS\tLEAVING\tSILENT\tSUSPECT\tRUNS\tCORES USED\tCORES")
	for _, p := range s.Pools {
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\t%.1f\t%.1f\n", p.Name, p.Servers, p.Leaving, p.Silent, p.Suspect, p.Runs,
			float64(p.UsedCPU)/1000, float64(p.CPU)/1000)
	}
	if len(s.Pending) > 0 {
		fmt.Fprintln(w, "\nQUEUE\tJOBS NOT BEGUN")
	}
	for queue, n := range s.Pending {
		fmt.Fprintf(w, "%s\t%d\n", queue, n)
	}
	renderOrphaned(w, s)
	if len(s.Waves) > 0 {
		fmt.Fprintln(w, "\nWAVE\tMACHINES\tDOWN\tOVER\tSTARTED\tDUE")
	}
	for _, v := range s.Waves {
		fmt.Fprintf(w, "%d\t%d\t%d\t%d\t%s\t%s\n", v.Number, v.Machines, v.Down, v.Over, formatUnixMS(v.StartedMS), formatUnixMS(v.StartedMS+v.DurationMS))
	}
	if len(s.Evacuated) > 0 {
		fmt.Fprintln(w, "\nEVACUATED\tSINCE\tSERVERS\tRUNS\tLASTING")
	}
	for _, e := range s.Evacuated {
		fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\n", e.DataCentre, formatUnixMS(e.SinceMS), e.Servers, e.Runs, e.Lasting)
	}
}

// formatUnixMS formats a time in Unix milliseconds; 0 gives "-".
func formatUnixMS(ms int64) string {
	if ms == 0 {
		return "-"
	}
	return time.UnixMilli(ms).UTC().Format("2006-01-02T15:04:05.000Z")
}

// describeEnd returns how a run ended and, if its server crashed, what that says about the task.
func describeEnd(n ledger.UnsuccessfulEnd) string {
	if n.Crash == "" {
		return string(n.How)
	}
	return fmt.Sprintf("%s (server crashed: %s)", n.How, n.Crash)
}
