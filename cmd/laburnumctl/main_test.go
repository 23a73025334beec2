package main

import (
	"bytes"
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/shoenig/test/must"

	"laburnumrouter/internal/version/sheet"
	laburnumv1 "laburnumrouter/proto/laburnum/v1"
	"laburnumrouter/proto/laburnum/v1/laburnumv1connect"
)

// fakeControl answers Apply through apply and counts the calls; it answers Status with status.
type fakeControl struct {
	laburnumv1connect.UnimplementedOperatorServiceHandler
	calls  int
	apply  func(call int) (*laburnumv1.ApplyResponse, error)
	status *laburnumv1.StatusResponse
}

func (f *fakeControl) Apply(context.Context, *laburnumv1.ApplyRequest) (*laburnumv1.ApplyResponse, error) {
	f.calls++
	return f.apply(f.calls)
}

func (f *fakeControl) Status(context.Context, *laburnumv1.StatusRequest) (*laburnumv1.StatusResponse, error) {
	return f.status, nil
}

func startServer(t *testing.T, f *fakeControl) string {
	mux := http.NewServeMux()
	mux.Handle(laburnumv1connect.NewOperatorServiceHandler(f))
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

func commandLineFor(addresses ...string) *commandLine {
	cli := &commandLine{Output: "table"}
	cli.Control = addresses
	cli.Timeout = 5 * time.Second
	return cli
}

const exampleSheet = "../../examples/drenq.csv"

// The first control instance fails as if its answer was lost; the call must be repeated with the second one.
func TestApplyIsRepeatedAfterLostAnswer(t *testing.T) {
	lost := &fakeControl{apply: func(int) (*laburnumv1.ApplyResponse, error) {
		return nil, connect.NewError(connect.CodeUnavailable, errors.New("answer lost"))
	}}
	other := &fakeControl{apply: func(int) (*laburnumv1.ApplyResponse, error) {
		return &laburnumv1.ApplyResponse{Outcome: &laburnumv1.SheetOutcome{Number: 1, Index: 9, By: "ana"}}, nil
	}}
	apply := &applyCommand{Sheet: exampleSheet, Wait: "committed"}
	must.NoError(t, apply.Run(commandLineFor(startServer(t, lost), startServer(t, other))))
	must.Eq(t, 1, lost.calls)
	must.Eq(t, 1, other.calls)
}

func TestApplyExitCodes(t *testing.T) {
	tests := []struct {
		name  string
		apply func(int) (*laburnumv1.ApplyResponse, error)
		want  int
		text  string
	}{
		{"conflict", func(int) (*laburnumv1.ApplyResponse, error) {
			return &laburnumv1.ApplyResponse{Conflict: true, Reason: "taken", Outcome: &laburnumv1.SheetOutcome{By: "ana", Index: 4}}, nil
		}, exitConflict, "winner: ana"},
		{"denied", func(int) (*laburnumv1.ApplyResponse, error) {
			return nil, connect.NewError(connect.CodeUnauthenticated, errors.New("who?"))
		}, exitDenied, "who?"},
	}
	for _, tt := range tests {
		cli := commandLineFor(startServer(t, &fakeControl{apply: tt.apply}))
		cli.Timeout = time.Minute
		err := (&applyCommand{Sheet: exampleSheet}).Run(cli)
		must.ErrorContains(t, err, tt.text, must.Sprint(tt.name))
		must.Eq(t, tt.want, exitCode(err), must.Sprint(tt.name))
	}
	must.Eq(t, exitInvalidSheet, exitCode(sheet.Faults{}))
}

// The timeout ends the second call before it is answered. The error must still say what the first call was answered.
func TestApplyReportsAnswerBeforeTimeout(t *testing.T) {
	base, timeOut := context.WithCancel(context.Background())
	control := &fakeControl{apply: func(call int) (*laburnumv1.ApplyResponse, error) {
		if call > 1 {
			timeOut()
			<-base.Done()
		}
		return nil, connect.NewError(connect.CodeUnavailable, errors.New("no leader"))
	}}
	cli := commandLineFor(startServer(t, control))
	cli.base, cli.Timeout = base, time.Minute
	err := (&applyCommand{Sheet: exampleSheet}).Run(cli)
	must.ErrorContains(t, err, "no leader")
	must.Eq(t, exitUnavailable, exitCode(err))
	must.Eq(t, 2, control.calls)
}

// Guards against a large sheet that is sent whole to one instance after the other, each time for three seconds.
func TestLargeRequestGetsTimeForItsSize(t *testing.T) {
	c := &connection{Control: []string{"127.0.0.1:1"}, Timeout: 10 * time.Second, requestBytes: 24 << 20}
	deadline, err := call(c, func(ctx context.Context, _ operatorClient) (time.Time, error) {
		deadline, _ := ctx.Deadline()
		return deadline, nil
	})
	must.NoError(t, err)
	must.Greater(t, 20*time.Second, time.Until(deadline))
}

func TestApplyWaitsUntilInForce(t *testing.T) {
	control := &fakeControl{
		apply: func(int) (*laburnumv1.ApplyResponse, error) {
			return &laburnumv1.ApplyResponse{Outcome: &laburnumv1.SheetOutcome{Number: 1, Index: 9}}, nil
		},
		status: &laburnumv1.StatusResponse{HasQuorum: true, DataCentres: []*laburnumv1.DataCentreStatus{
			{DataCentre: "dc1", InForceIndex: 9}, {DataCentre: "dc2", InForceIndex: 8}}},
	}
	apply := &applyCommand{Sheet: exampleSheet, Wait: waitInForce, WaitTimeout: 300 * time.Millisecond}
	err := apply.Run(commandLineFor(startServer(t, control)))
	must.Eq(t, exitTimeout, exitCode(err))
	must.ErrorContains(t, err, "dc2")
	control.status.DataCentres[1].InForceIndex = 10
	must.NoError(t, apply.Run(commandLineFor(startServer(t, control))))
}

// Of two control instances, one is down and the other has no quorum. The output must say that both leave things unknown.
func TestStatusReportsMissingAnswersAndQuorum(t *testing.T) {
	up := &laburnumv1.StatusResponse{Node: "control-1", CommittedIndex: 5,
		DataCentres: []*laburnumv1.DataCentreStatus{{DataCentre: "dc2", AgeMs: 60_000}},
		Teams: []*laburnumv1.TeamStatus{
			{Team: "soap", Slices: []*laburnumv1.Slice{{DataCentre: "dc1", Permits: 4}}},
			{Team: "salts", WhenCutOff: laburnumv1.CutOffPolicy_CUT_OFF_POLICY_REFUSE}},
	}
	answers := []answer[*laburnumv1.StatusResponse]{{"127.0.0.1:1", nil, errors.New("refused")}, {"127.0.0.1:2", up, nil}}
	best, err := bestStatus(answers)
	must.NoError(t, err)
	var out bytes.Buffer
	writeControls(&out, answers, best)
	writeUnknowns(&out, answers, best)
	writeDataCentres(&out, best)
	writeWorkspaces(&out, best)
	for _, want := range []string{"no answer", "1 of 2 control instances", "no quorum", "cut off: serves 1 workspaces", "refuses salts", "dc1=4"} {
		must.StrContains(t, out.String(), want)
	}
}

// Maintenance of a pool that must keep all of its instances available can't be carried out.
func TestCheckWarnsOfImpossibleMaintenance(t *testing.T) {
	cfg, err := readSheet(exampleSheet)
	must.NoError(t, err)
	must.StrNotContains(t, strings.Join(warnings(cfg), "\n"), "impossible")
	pool := cfg.Pools[0]
	pool.MinAvailable = pool.Instances
	cfg.Maintenance = append(cfg.Maintenance, &laburnumv1.Maintenance{Name: "w", Pool: pool.Name, StartUnix: 0, EndUnix: 86_400, DrainSeconds: 60})
	must.StrContains(t, strings.Join(warnings(cfg), "\n"), "maintenance w, pool "+pool.Name+": impossible (budget)")
}

func TestBestStatusPrefersTheLeaderWithAQuorum(t *testing.T) {
	isolated := &laburnumv1.StatusResponse{Node: "a", Leader: "a", CommittedIndex: 90}
	follower := &laburnumv1.StatusResponse{Node: "b", Leader: "c", CommittedIndex: 80, HasQuorum: true}
	leader := &laburnumv1.StatusResponse{Node: "c", Leader: "c", CommittedIndex: 70, HasQuorum: true}
	best, err := bestStatus([]answer[*laburnumv1.StatusResponse]{{"1", isolated, nil}, {"2", follower, nil}, {"3", leader, nil}})
	must.NoError(t, err)
	must.Eq(t, "c", best.Node)
}
