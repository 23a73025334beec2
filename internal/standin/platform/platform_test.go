package platform

import (
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	platformapi "laburnumrouter/internal/connection/platform"
	laburnumv1 "laburnumrouter/proto/laburnum/v1"
)

// newTestPlatform serves a simulated platform over HTTP and returns it, a client, and its clock, which the test advances.
func newTestPlatform(t *testing.T) (*Platform, *platformapi.HTTPClient, *time.Time) {
	t.Helper()
	now := time.Unix(1_800_000_000, 0)
	p := New(func() time.Time { return now })
	mux := http.NewServeMux()
	p.Handle(mux)
	s := httptest.NewServer(mux)
	t.Cleanup(s.Close)
	return p, platformapi.NewHTTPClient(strings.TrimPrefix(s.URL, "http://"), "key"), &now
}

func TestTaskRunsOnceAndReportsUsage(t *testing.T) {
	p, client, now := newTestPlatform(t)
	ctx := t.Context()
	task := &platformapi.Task{ID: "j1-1", Worker: "w1", Command: "seconds=4&milli_cpu=500", LeaseMS: 3000}
	must.NoError(t, client.Start(ctx, task))
	must.NoError(t, client.Start(ctx, task)) // repeated as after a lost answer: no second run
	other := &platformapi.Task{ID: "j1-1", Worker: "w2", Command: "seconds=4"}
	must.True(t, platformapi.ErrRefused.Has(client.Start(ctx, other)))
	must.Eq(t, 1, p.Starts()["seconds=4&milli_cpu=500"])

	renew := func() platformapi.TaskReport {
		reports, err := client.Renew(ctx, []string{"j1-1"}, 3000)
		must.NoError(t, err)
		return reports[0]
	}
	must.Nil(t, renew().Usage) // usage is reported with a lag
	*now = now.Add(2 * time.Second)
	must.Eq(t, 500, renew().Usage.MilliCpu)
	must.NoError(t, client.Throttle(ctx, "j1-1", &laburnumv1.Resources{MilliCpu: 200}))
	must.Eq(t, 200, renew().Usage.MilliCpu)
	*now = now.Add(2 * time.Second)
	must.True(t, renew().Succeeded)
}

func TestTaskEndsWhenItsLeaseLapses(t *testing.T) {
	_, client, now := newTestPlatform(t)
	must.NoError(t, client.Start(t.Context(), &platformapi.Task{ID: "j1-1", Worker: "w1", Command: "seconds=60", LeaseMS: 1000}))
	*now = now.Add(5 * time.Second)
	reports, err := client.Renew(t.Context(), []string{"j1-1"}, 1000)
	must.NoError(t, err)
	must.Eq(t, platformapi.TaskEnded, reports[0].State)
	must.Eq(t, "lease lapsed", reports[0].Reason)
}

func TestRenewOfUnknownTaskPreventsItsStart(t *testing.T) {
	p, client, _ := newTestPlatform(t)
	reports, err := client.Renew(t.Context(), []string{"j1-1"}, 1000)
	must.NoError(t, err)
	must.Eq(t, platformapi.TaskUnknown, reports[0].State)
	err = client.Start(t.Context(), &platformapi.Task{ID: "j1-1", Worker: "w1", Command: "late"})
	must.True(t, platformapi.ErrRefused.Has(err))
	must.Eq(t, 0, p.Starts()["late"])
}

func TestTaskResumesFromCheckpoint(t *testing.T) {
	_, client, now := newTestPlatform(t)
	ctx := t.Context()
	must.NoError(t, client.Start(ctx, &platformapi.Task{ID: "j1-1", Worker: "w1", Command: "seconds=10", LeaseMS: 60_000}))
	*now = now.Add(6 * time.Second)
	must.NoError(t, client.Checkpoint(ctx, "j1-1"))
	must.NoError(t, client.Stop(ctx, "j1-1"))
	reports, err := client.Renew(ctx, []string{"j1-1"}, 1000)
	must.NoError(t, err)
	must.Eq(t, "6s", reports[0].Checkpoint)
	must.NoError(t, client.Start(ctx, &platformapi.Task{ID: "j1-2", Worker: "w2", Command: "seconds=10", LeaseMS: 60_000, Checkpoint: "6s"}))
	*now = now.Add(4 * time.Second)
	reports, err = client.Renew(ctx, []string{"j1-2"}, 1000)
	must.NoError(t, err)
	must.True(t, reports[0].Succeeded)
}

// Guards against a second reboot by a request that is repeated after its answer was lost.
func TestRebootRunsOncePerRequestID(t *testing.T) {
	p, client, _ := newTestPlatform(t)
	var mu sync.Mutex // a lost answer doesn't order the call of Reboot before the next request
	var reboots []string
	p.Reboot = func(instance string) {
		mu.Lock()
		defer mu.Unlock()
		reboots = append(reboots, instance)
	}
	rebooted := func() []string {
		mu.Lock()
		defer mu.Unlock()
		return slices.Clone(reboots)
	}
	p.SetFaults(Faults{LoseAnswers: 1})
	must.True(t, platformapi.ErrUncertain.Has(client.Reboot(t.Context(), "i1", "w-i1-7")))
	p.SetFaults(Faults{})
	must.NoError(t, client.Reboot(t.Context(), "i1", "w-i1-7"))
	must.Eq(t, []string{"i1"}, rebooted())
	p.SetFaults(Faults{Refuse: true})
	must.True(t, platformapi.ErrRefused.Has(client.Reboot(t.Context(), "i1", "w-i1-8")))
	must.Len(t, 1, rebooted())
}
