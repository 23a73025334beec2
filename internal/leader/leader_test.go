package leader

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/shoenig/test/must"

	"laburnumrouter/internal/dispatch"
)

// instance is a control instance that answers as the test says.
type instance struct {
	server *httptest.Server
	where  atomic.Pointer[Whereabouts]
	calls  atomic.Int64
	// drop breaks off calls after they were read.
	drop atomic.Bool
}

func newInstance(t *testing.T, where Whereabouts) *instance {
	t.Helper()
	i := &instance{}
	i.where.Store(&where)
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+WherePath, func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(i.where.Load())
	})
	mux.HandleFunc("POST "+CallPath, func(w http.ResponseWriter, _ *http.Request) {
		i.calls.Add(1)
		switch {
		case i.drop.Load():
			panic(http.ErrAbortHandler)
		case !i.where.Load().Leads:
			w.WriteHeader(http.StatusMisdirectedRequest)
		default:
			_ = json.NewEncoder(w).Encode(&dispatch.Reply{Outcome: dispatch.OK})
		}
	})
	i.server = httptest.NewServer(mux)
	t.Cleanup(i.server.Close)
	return i
}

func (i *instance) address() string { return strings.TrimPrefix(i.server.URL, "http://") }

func call(t *testing.T, c *Client) *dispatch.Reply {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	return c.Do(ctx, &dispatch.Call{Op: dispatch.OpPending})
}

// The leader needs not be among the seeds: whoever is asked names it.
func TestLeaderOutsideTheSeedsIsFound(t *testing.T) {
	chief := newInstance(t, Whereabouts{Leads: true})
	seed := newInstance(t, Whereabouts{Leader: chief.address(), Members: []string{chief.address()}})
	c := NewClient([]string{seed.address()}, nil, hclog.NewNullLogger())
	must.EqOp(t, dispatch.OK, call(t, c).Outcome)
}

func TestCallFollowsANewLeader(t *testing.T) {
	a, b := newInstance(t, Whereabouts{Leads: true}), newInstance(t, Whereabouts{})
	c := NewClient([]string{a.address(), b.address()}, nil, hclog.NewNullLogger())
	must.EqOp(t, dispatch.OK, call(t, c).Outcome)
	a.where.Store(&Whereabouts{})
	b.where.Store(&Whereabouts{Leads: true})
	must.EqOp(t, dispatch.OK, call(t, c).Outcome)
	must.EqOp(t, 1, b.calls.Load())
}

func TestNobodyLeadsIsAnsweredAtOnceAsNotRun(t *testing.T) {
	a := newInstance(t, Whereabouts{})
	c := NewClient([]string{a.address()}, nil, hclog.NewNullLogger())
	reply := call(t, c)
	must.EqOp(t, dispatch.Unavailable, reply.Outcome)
	must.Greater(t, 0, reply.RetryAfterMS)
}

// A call that may have been carried out is never reported as one that wasn't.
func TestBrokenCallIsUncertain(t *testing.T) {
	a := newInstance(t, Whereabouts{Leads: true})
	c := NewClient([]string{a.address()}, nil, hclog.NewNullLogger())
	a.drop.Store(true)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for a.calls.Load() == 0 {
			time.Sleep(time.Millisecond)
		}
		a.where.Store(&Whereabouts{})
	}()
	must.EqOp(t, dispatch.Uncertain, call(t, c).Outcome)
	<-done
}
