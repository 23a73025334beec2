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
	// hang keeps calls until it is closed.
	hang atomic.Pointer[chan struct{}]
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
		if hang := i.hang.Load(); hang != nil {
			<-*hang
		}
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

// A call that hangs on a leader which stands still goes on to the one that was elected meanwhile.
func TestCallLeavesALeaderThatStandsStill(t *testing.T) {
	old := newInstance(t, Whereabouts{Leads: true})
	next := newInstance(t, Whereabouts{})
	hang := make(chan struct{})
	old.hang.Store(&hang)
	t.Cleanup(func() { close(hang) })
	c := NewClient([]string{old.address(), next.address()}, nil, hclog.NewNullLogger())
	c.attempt = time.Hour
	_, err := c.find(t.Context())
	must.NoError(t, err)
	old.where.Store(&Whereabouts{})
	next.where.Store(&Whereabouts{Leads: true})
	must.EqOp(t, dispatch.OK, call(t, c).Outcome)
	must.EqOp(t, 1, old.calls.Load())
	must.EqOp(t, 1, next.calls.Load())
}

// A process that reaches less than a majority is cut off; one that reaches a majority waits for its election.
func TestCutOff(t *testing.T) {
	dead := httptest.NewServer(http.NotFoundHandler())
	dead.Close()
	gone := strings.TrimPrefix(dead.URL, "http://")
	near := newInstance(t, Whereabouts{})
	other := newInstance(t, Whereabouts{})
	members := []string{near.address(), other.address(), gone}
	for reached, cut := range []bool{true, true, false} {
		c := NewClient(members, nil, hclog.NewNullLogger())
		c.seeds = append(append([]string(nil), members[:reached]...), gone, gone+"0", gone+"1")[:3]
		must.EqOp(t, dispatch.Unavailable, call(t, c).Outcome)
		must.EqOp(t, cut, c.CutOff(), must.Sprint(reached))
		near.where.Store(&Whereabouts{Leads: true})
		if reached > 0 {
			c.look(t.Context())
			must.False(t, c.CutOff())
		}
		near.where.Store(&Whereabouts{})
	}
}
