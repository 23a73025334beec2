package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"strings"

	"github.com/zeebo/errs"
	"google.golang.org/protobuf/encoding/protojson"

	"laburnumrouter/internal/version/sheet"
	laburnumv1 "laburnumrouter/proto/laburnum/v1"
)

// cutOffAgeMS is an age limit in milliseconds: if the latest report of any entry of a data centre is at least this old, the
// data centre counts as cut off from the instance that answered.
const cutOffAgeMS = 5000

type statusCommand struct{}

func requestStatus(ctx context.Context, client operatorClient) (*laburnumv1.StatusResponse, error) {
	return client.Status(ctx, &laburnumv1.StatusRequest{})
}

// fleetStatus requests the status from all control instances and returns the most authoritative one (see bestStatus).
func fleetStatus(c *connection) (*laburnumv1.StatusResponse, error) {
	answers, err := callAll(c, requestStatus)
	if err != nil {
		return nil, err
	}
	return bestStatus(answers)
}

// fleetSummary is like fleetStatus but requests no pools, workspaces and waves.
func fleetSummary(c *connection) (*laburnumv1.StatusResponse, error) {
	answers, err := callAll(c, func(ctx context.Context, client operatorClient) (*laburnumv1.StatusResponse, error) {
		return client.Status(ctx, &laburnumv1.StatusRequest{Summary: true})
	})
	if err != nil {
		return nil, err
	}
	return bestStatus(answers)
}

// bestStatus returns the most authoritative status: it prefers a leader with a quorum, then any instance with a quorum,
// then the highest committed index.
func bestStatus(answers []answer[*laburnumv1.StatusResponse]) (*laburnumv1.StatusResponse, error) {
	var best *laburnumv1.StatusResponse
	var failures errs.Group
	for _, a := range answers {
		if a.err != nil {
			if final := finalError(a.err); final != nil {
				return nil, final
			}
			failures.Add(fmt.Errorf("%s: %w", a.address, a.err))
			continue
		}
		if best == nil || moreAuthoritative(a.value, best) {
			best = a.value
		}
	}
	if best == nil {
		return nil, errUnavailable.Wrap(failures.Err())
	}
	return best, nil
}

func moreAuthoritative(a, b *laburnumv1.StatusResponse) bool {
	rank := func(s *laburnumv1.StatusResponse) int {
		switch {
		case s.HasQuorum && s.Leader == s.Node:
			return 2
		case s.HasQuorum:
			return 1
		}
		return 0
	}
	if rank(a) != rank(b) {
		return rank(a) > rank(b)
	}
	return a.CommittedIndex > b.CommittedIndex
}

// Run prints the state of the fleet.
func (s *statusCommand) Run(cli *commandLine) error {
	answers, err := callAll(&cli.connection, requestStatus)
	if err != nil {
		return err
	}
	best, err := bestStatus(answers)
	if err != nil {
		return err
	}
	output, err := newStatusOutput(answers, best)
	if err != nil {
		return err
	}
	return cli.print(output, func(w io.Writer) {
		writeControls(w, answers, best)
		writeUnknowns(w, answers, best)
		writeDataCentres(w, best)
		writePools(w, best)
		writeWorkspaces(w, best)
		writeWaves(w, best)
		writeOrphaned(w, best)
	})
}

// writeOrphaned reports the jobs whose team or pool isn't in the sheet in force.
func writeOrphaned(w io.Writer, best *laburnumv1.StatusResponse) {
	inForce := &laburnumv1.Configuration{}
	for _, t := range best.Teams {
		inForce.Teams = append(inForce.Teams, &laburnumv1.Team{Name: t.Team})
	}
	for _, p := range best.Pools {
		inForce.Pools = append(inForce.Pools, &laburnumv1.Pool{Name: p.Pool})
	}
	for i, line := range sheet.OrphanedJobs(inForce, best.OpenJobs) {
		if i == 0 {
			fmt.Fprintln(w)
		}
		fmt.Fprintln(w, line)
	}
}

// controlOutput is one control instance in the JSON output of status.
type controlOutput struct {
	Address   string `json:"address"`
	Node      string `json:"node,omitempty"`
	Committed uint64 `json:"committed,omitempty"`
	Quorum    bool   `json:"quorum"`
	Error     string `json:"error,omitempty"` // set if it gave no answer
}

// statusOutput is the JSON output of status: every control instance, and the fleet's state as in the most authoritative
// status (see bestStatus).
type statusOutput struct {
	Controls []controlOutput `json:"controls"`
	Fleet    json.RawMessage `json:"fleet"`
}

func newStatusOutput(answers []answer[*laburnumv1.StatusResponse], best *laburnumv1.StatusResponse) (*statusOutput, error) {
	fleet, err := protojson.MarshalOptions{EmitUnpopulated: true}.Marshal(best)
	if err != nil {
		return nil, err
	}
	output := &statusOutput{Fleet: fleet}
	for _, a := range answers {
		c := controlOutput{Address: a.address, Node: a.value.GetNode(), Committed: a.value.GetCommittedIndex(), Quorum: a.value.GetHasQuorum()}
		if a.err != nil {
			c.Error = a.err.Error()
		}
		output.Controls = append(output.Controls, c)
	}
	return output, nil
}

func writeControls(w io.Writer, answers []answer[*laburnumv1.StatusResponse], best *laburnumv1.StatusResponse) {
	fmt.Fprintf(w, "sheet %d, committed index %d, leader %s (term %d), quorum %s; as %s sees it\n",
		best.SheetNumber, best.CommittedIndex, orUnknown(best.Leader), best.Term, yesNo(best.HasQuorum), best.Node)
	fmt.Fprintln(w, "\nCONTROL\tADDRESS\tLEADER\tTERM\tCOMMITTED\tQUORUM")
	for _, a := range answers {
		if a.err != nil {
			fmt.Fprintf(w, "?\t%s\tno answer\t\t\t\n", a.address)
			continue
		}
		v := a.value
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%d\t%s\n", v.Node, a.address, orUnknown(v.Leader), v.Term, v.CommittedIndex, yesNo(v.HasQuorum))
	}
}

// writeUnknowns reports what can't be known because instances gave no answer or there is no quorum.
func writeUnknowns(w io.Writer, answers []answer[*laburnumv1.StatusResponse], best *laburnumv1.StatusResponse) {
	silent := 0
	for _, a := range answers {
		if a.err != nil {
			silent++
		}
	}
	if silent > 0 {
		fmt.Fprintf(w, "\n%d of %d control instances gave no answer: whether they run can't be known from here\n", silent, len(answers))
	}
	if !best.HasQuorum {
		fmt.Fprintf(w, "\nno quorum: changes can't be committed, and what another side committed can't be known; all below is the last that %s knew\n", best.Node)
	}
}

func writeDataCentres(w io.Writer, s *laburnumv1.StatusResponse) {
	fmt.Fprintln(w, "\nDATA CENTRE\tENTRIES\tIN FORCE\tSHEET\tAGE\tSTATE")
	for _, dc := range s.DataCentres {
		state := "connected"
		if dc.AgeMs >= cutOffAgeMS {
			state = "cut off: " + cutOffSummary(s)
		}
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%.1fs\t%s\n", dc.DataCentre, dc.Entries, dc.InForceIndex, dc.InForceSheet, float64(dc.AgeMs)/1000, state)
	}
}

// cutOffSummary describes which workspaces a cut-off data centre serves, each within the data centre's slice of the workspace's limit, and
// which it refuses, by the workspaces' policies.
func cutOffSummary(s *laburnumv1.StatusResponse) string {
	serve, refused := 0, []string{}
	for _, t := range s.Teams {
		if t.WhenCutOff == laburnumv1.CutOffPolicy_CUT_OFF_POLICY_REFUSE {
			refused = append(refused, t.Team)
			continue
		}
		serve++
	}
	text := fmt.Sprintf("serves %d workspaces on their slices", serve)
	if len(refused) > 0 {
		text += ", refuses " + strings.Join(refused, " ")
	}
	return text
}

func writePools(w io.Writer, s *laburnumv1.StatusResponse) {
	fmt.Fprintln(w, "\nPOOL\tWANTED\tSERVING\tDRAINING\tFAILED\tBUDGET LEFT\tWAITING\tRUNNING")
	for _, p := range s.Pools {
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\n", p.Pool, p.Wanted, p.Serving, p.Draining, p.Failed, p.BudgetLeft, p.Waiting, p.Running)
	}
}

func writeWorkspaces(w io.Writer, s *laburnumv1.StatusResponse) {
	fmt.Fprintln(w, "\nTEAM\tSHARE\tLIMIT\tRUNNING\tCUT OFF\tSLICES")
	for _, t := range s.Teams {
		policy := "serve"
		if t.WhenCutOff == laburnumv1.CutOffPolicy_CUT_OFF_POLICY_REFUSE {
			policy = "refuse"
		}
		slices := make([]string, 0, len(t.Slices))
		for _, slice := range t.Slices {
			slices = append(slices, fmt.Sprintf("%s=%d", slice.DataCentre, slice.Permits))
		}
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%s\t%s\n", t.Team, t.Share, t.Limit, t.Running, policy, strings.Join(slices, " "))
	}
}

func writeWaves(w io.Writer, s *laburnumv1.StatusResponse) {
	if len(s.Waves) == 0 {
		return
	}
	fmt.Fprintln(w, "\nWAVE\tSTATE\tDONE\tTOTAL\tREASON")
	for _, wave := range s.Waves {
		state := strings.ToLower(strings.TrimPrefix(wave.State.String(), "WAVE_STATE_"))
		fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%s\n", wave.Name, state, wave.Done, wave.Total, wave.Reason)
	}
}

func orUnknown(name string) string {
	if name == "" {
		return "unknown"
	}
	return name
}

func yesNo(flag bool) string {
	if flag {
		return "yes"
	}
	return "no"
}
