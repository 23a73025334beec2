package jobentry

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime/debug"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"

	"laburnumrouter/internal/dispatch"
	"laburnumrouter/internal/leader"
	"laburnumrouter/internal/version/accepted"
)

// testEntry is an entry in this process with a fake leader that answers every call with OK.
type testEntry struct {
	t                           *testing.T
	callerAddress, readyAddress string
	stop                        context.CancelFunc
	done                        chan error
}

func freeAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	must.NoError(t, l.Close())
	return l.Addr().String()
}

func newTestEntry(t *testing.T, limits accepted.Limits, callers func(func(context.Context, *dispatch.Call) *dispatch.Reply) http.Handler) *testEntry {
	t.Helper()
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+leader.LeaderPath, func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(&leader.LeaderStatus{Leads: true, Limits: limits})
	})
	mux.HandleFunc("POST "+leader.CallPath, func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(&dispatch.Reply{Outcome: dispatch.OK})
	})
	control := httptest.NewServer(mux)
	t.Cleanup(control.Close)

	r := &testEntry{t: t, callerAddress: freeAddress(t), readyAddress: freeAddress(t), done: make(chan error, 1)}
	s := DefaultSettings()
	s.Name, s.Listen, s.ReadyListen, s.Seeds = "entry-0", r.callerAddress, r.readyAddress, []string{"127.0.0.1:1"}
	deps := Dependencies{
		Callers: callers,
		Ready: func(ready func() bool) http.Handler {
			return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = fmt.Fprint(w, ready()) })
		},
	}
	seeds := func([]string, string) []string { return []string{strings.TrimPrefix(control.URL, "http://")} }
	ctx, cancel := context.WithCancel(context.Background())
	r.stop = cancel
	go func() { r.done <- Run(ctx, s, deps, seeds, hclog.NewNullLogger()) }()
	t.Cleanup(func() {
		cancel()
		must.NoError(t, <-r.done)
	})
	r.waitUntil(func() bool { return r.get(r.readyAddress) == "true" })
	return r
}

func (r *testEntry) waitUntil(f func() bool) {
	r.t.Helper()
	must.Wait(r.t, wait.InitialSuccess(wait.BoolFunc(f), wait.Timeout(30*time.Second), wait.Gap(10*time.Millisecond)))
}

// get returns the response body, or the text of the error.
func (r *testEntry) get(at string) string {
	resp, err := http.Get("http://" + at + "/")
	if err != nil {
		return err.Error()
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return err.Error()
	}
	return string(body)
}

// A stopping entry first reports itself as not ready, goes on accepting requests meanwhile, and answers all that it has
// accepted.
func TestPlannedStopCompletesRequestsInProgress(t *testing.T) {
	started, release := make(chan struct{}, 2), make(chan struct{})
	r := newTestEntry(t, accepted.Limits{}, func(do func(context.Context, *dispatch.Call) *dispatch.Reply) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
			started <- struct{}{}
			<-release
			_, _ = io.WriteString(w, string(do(req.Context(), &dispatch.Call{Op: dispatch.OpPending}).Outcome))
		})
	})
	answers := make(chan string, 2)
	go func() { answers <- r.get(r.callerAddress) }()
	<-started
	r.stop()
	r.waitUntil(func() bool { return r.get(r.readyAddress) == "false" })
	go func() { answers <- r.get(r.callerAddress) }()
	<-started
	close(release)
	must.EqOp(t, string(dispatch.OK), <-answers)
	must.EqOp(t, string(dispatch.OK), <-answers)
}

// An entry enforces the limits that the leader reports.
func TestOversizedRequestsAreRefused(t *testing.T) {
	r := newTestEntry(t, accepted.Limits{HeaderBytes: 500, BodyBytes: 10}, func(func(context.Context, *dispatch.Call) *dispatch.Reply) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
			if _, err := io.ReadAll(req.Body); err != nil {
				w.WriteHeader(http.StatusRequestEntityTooLarge)
			}
		})
	})
	cases := []struct {
		header, body string
		status       int
	}{
		{"short", "short", 200},
		{"short", "ten bytes and more", 413},
		{strings.Repeat("long", 200), "short", 431},
	}
	for _, c := range cases {
		req, err := http.NewRequest(http.MethodPost, "http://"+r.callerAddress, strings.NewReader(c.body))
		must.NoError(t, err)
		req.Header.Set("Note", c.header)
		resp, err := http.DefaultClient.Do(req)
		must.NoError(t, err)
		must.NoError(t, resp.Body.Close())
		must.EqOp(t, c.status, resp.StatusCode, must.Sprint(c))
	}
}

// MemoryMB sets the runtime's soft memory limit, at heapFraction of its value.
func TestMemoryLimitIsSet(t *testing.T) {
	before := debug.SetMemoryLimit(-1)
	t.Cleanup(func() { debug.SetMemoryLimit(before) })
	s := DefaultSettings()
	s.Listen, s.MemoryMB = "not an address", 100
	must.Error(t, Run(t.Context(), s, Dependencies{
		Callers: func(func(context.Context, *dispatch.Call) *dispatch.Reply) http.Handler {
			return http.NotFoundHandler()
		},
		Ready: func(func() bool) http.Handler { return http.NotFoundHandler() },
	}, func([]string, string) []string { return nil }, hclog.NewNullLogger()))
	must.EqOp(t, int64(60<<20), debug.SetMemoryLimit(-1))
}
