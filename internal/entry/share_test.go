package entry

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"laburnumrouter/internal/request/forward"
	"laburnumrouter/internal/request/outcome"
	"laburnumrouter/internal/request/queue"
	"laburnumrouter/internal/request/requestid"
)

// waitForScheduler waits until the entries of each data centre know each other and agree on the scheduler.
func (f *testFleet) waitForScheduler() {
	eventually(f.t, "the entries agree on the scheduler", func() bool {
		want := make(map[string]string)
		for _, e := range f.entries {
			order := e.schedulers.order("p", e.now())
			dc := e.settings.DataCentre
			if want[dc] == "" {
				want[dc] = order[0]
			}
			if want[dc] != order[0] || len(order) != len(e.schedulers.peers)+1 {
				return false
			}
		}
		return true
	})
}

// scheduler returns the entry that schedules the pool, and another one that does not.
func (f *testFleet) scheduler() (scheduler, other *testEntry) {
	name := f.entries[0].schedulers.order("p", f.entries[0].now())[0]
	for _, e := range f.entries {
		if e.settings.Name == name {
			scheduler = e
		} else {
			other = e
		}
	}
	return scheduler, other
}

// All entries of a data centre share the slots of an instance, and all slots can be used through any entry.
func TestEntriesShareSlots(t *testing.T) {
	f := newFleet(t, "dc1", "dc1", "dc1")
	var release chan struct{}
	server := f.addServer("dc1", func(w http.ResponseWriter, r *http.Request) { waitForRelease(r, release); echo(w, r) })
	f.announceServers("dc1")
	f.waitForScheduler()
	scheduler, _ := f.scheduler()
	for name, entries := range map[string][]*testEntry{"all entries": f.entries, "one entry": f.entries[:1], "another entry": f.entries[1:2]} {
		release = make(chan struct{})
		const callers = 30
		done := make(chan reply, callers)
		for i := range callers {
			go func() { done <- f.call(entries[i%len(entries)], http.MethodPost, "") }()
		}
		eventually(t, name+": all slots are in use and the others wait", func() bool {
			return server.running.Load() == testSlots && scheduler.queue.Waiting("p") == callers-testSlots
		})
		close(release)
		for range callers {
			must.Eq(t, 200, (<-done).status)
		}
		must.Eq(t, testSlots, int(server.peak.Load()), must.Sprint(name))
		eventually(t, "all slots and permits are released", func() bool {
			return f.entries[0].idle(server) && f.entries[1].idle(server) && f.entries[2].idle(server)
		})
	}
}

// Request ids name the scheduler that granted the request, which holds its permit, and the workspace.
func TestRequestIDNamesSchedulerAndWorkspace(t *testing.T) {
	f := newFleet(t, "dc1", "dc1")
	server := f.addServer("dc1", echo)
	f.waitForScheduler()
	scheduler, other := f.scheduler()
	must.Eq(t, 200, f.call(other, http.MethodPost, "").status)
	server.seen.Range(func(key, _ any) bool {
		id, err := requestid.Parse(key.(string))
		must.NoError(t, err)
		must.Eq(t, scheduler.settings.Name, id.Entry)
		must.Eq(t, "t", id.Workspace)
		return true
	})
}

// When the scheduler fails, the next one counts the grants that the lost one had issued, and running requests complete.
func TestNextSchedulerCountsGrantsOfLostOne(t *testing.T) {
	f := newFleet(t, "dc1", "dc1", "dc1")
	release := make(chan struct{})
	server := f.addServer("dc1", func(w http.ResponseWriter, r *http.Request) {
		if r.URL.RawQuery == "" && r.Header.Get("Hold") != "" {
			waitForRelease(r, release)
		}
		echo(w, r)
	})
	f.announceServers("dc1")
	f.waitForScheduler()
	scheduler, other := f.scheduler()
	held := make(chan reply, 2)
	for range 2 {
		go func() { held <- f.call(other, http.MethodPost, "", "Hold", "1") }()
	}
	eventually(t, "two run", func() bool { return server.running.Load() == 2 })
	scheduler.stop()
	must.Eq(t, 200, f.call(other, http.MethodPost, "").status)
	next := ""
	eventually(t, "the next scheduler counts what is held", func() bool {
		next = other.schedulers.order("p", other.now())[0]
		for _, e := range f.entries {
			if e.settings.Name == next && next != scheduler.settings.Name {
				_, used := e.router.Capacity("p", e.now())
				return used == 2
			}
		}
		return false
	})
	close(release)
	must.Eq(t, 200, (<-held).status)
	must.Eq(t, 200, (<-held).status)
	eventually(t, "all slots and permits are released", func() bool {
		for _, e := range f.entries {
			_, used := e.router.Capacity("p", e.now())
			if e != scheduler && used != 0 {
				return false
			}
		}
		return true
	})
}

// When a caller disconnects while its request waits at another entry's scheduler, its place in the queue there is freed.
func TestDisconnectedCallersLeaveRemoteQueue(t *testing.T) {
	f := newFleet(t, "dc1", "dc1")
	release := make(chan struct{})
	server := f.addServer("dc1", func(w http.ResponseWriter, r *http.Request) { waitForRelease(r, release); echo(w, r) })
	f.waitForScheduler()
	scheduler, other := f.scheduler()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan reply, 50)
	for range 50 {
		go func() { done <- f.callWith(ctx, other, http.MethodPost, "") }()
	}
	eventually(t, "the others wait", func() bool { return scheduler.queue.Waiting("p") == 50-testSlots })
	cancel()
	for range 50 {
		<-done
	}
	eventually(t, "none waits", func() bool { return scheduler.queue.Waiting("p") == 0 })
	close(release)
	eventually(t, "all slots and permits are released", func() bool { return scheduler.idle(server) && other.idle(server) })
}

// A stopping scheduler waits until the grants that it issued are returned.
func TestStoppingSchedulerWaitsForItsGrants(t *testing.T) {
	f := newFleet(t, "dc1", "dc1")
	release := make(chan struct{})
	server := f.addServer("dc1", func(w http.ResponseWriter, r *http.Request) { waitForRelease(r, release); echo(w, r) })
	f.waitForScheduler()
	scheduler, other := f.scheduler()
	done := make(chan reply, 1)
	go func() { done <- f.call(other, http.MethodPost, "") }()
	eventually(t, "it runs", func() bool { return server.running.Load() == 1 })
	drained := make(chan struct{})
	go func() { scheduler.drainPeers(context.Background()); close(drained) }()
	select {
	case <-drained:
		t.Fatal("the scheduler did not wait")
	case <-time.After(5 * drainPollInterval):
	}
	close(release)
	<-drained
	must.Eq(t, 200, (<-done).status)
}

// A request that can't run here runs in another data centre, and is not forwarded again from there.
func TestOverflowRunsInAnotherDataCentre(t *testing.T) {
	f := newFleet(t, "dc1", "dc2")
	server := f.addServer("dc2", echo)
	here, there := f.entries[0], f.entries[1]
	for _, method := range []string{http.MethodPost, http.MethodGet} {
		got := f.call(here, method, "body")
		must.Eq(t, 200, got.status)
		must.Eq(t, "body", got.body)
	}
	must.Eq(t, 2, int(server.runs.Load()))
	eventually(t, "all slots and permits are released", func() bool { return here.idle() && there.idle(server) })

	// With no instance anywhere, the refusal is not-run, and the request is not forwarded back and forth.
	f.announce(there, server, 2, there.now().Add(-time.Minute))
	got := f.call(here, http.MethodPost, "body", "Request-Timeout", "0.2")
	must.Eq(t, 503, got.status)
	must.Eq(t, outcome.NotRun, got.outcome)
	must.Eq(t, queue.ReasonNoCapacity, got.reason())
	must.Eq(t, 2, int(server.runs.Load()))
}

// When all slots of this data centre are in use, further requests run in another one that has free slots.
func TestOverflowWhenFull(t *testing.T) {
	f := newFleet(t, "dc1", "dc2")
	release := make(chan struct{})
	near := f.addServer("dc1", func(w http.ResponseWriter, r *http.Request) { waitForRelease(r, release); echo(w, r) })
	far := f.addServer("dc2", echo)
	done := make(chan reply, testSlots)
	for range testSlots {
		go func() { done <- f.call(f.entries[0], http.MethodPost, "near") }()
	}
	eventually(t, "the near one is full", func() bool { return near.running.Load() == testSlots })
	got := f.call(f.entries[0], http.MethodPost, "far")
	must.Eq(t, 200, got.status)
	must.Eq(t, 1, int(far.runs.Load()))
	close(release)
	for range testSlots {
		must.Eq(t, 200, (<-done).status)
	}
}

// A request whose server dies in the other data centre may have run, so it is not sent again.
func TestOverflowWithUnknownOutcomeIsNotRetried(t *testing.T) {
	f := newFleet(t, "dc1", "dc2", "dc3")
	dying := f.addServer("dc2", raw(""))
	other := f.addServer("dc3", raw(""))
	got := f.call(f.entries[0], http.MethodPost, "body")
	must.Eq(t, 502, got.status)
	must.Eq(t, outcome.Unknown, got.outcome)
	must.Eq(t, 1, int(dying.runs.Load()+other.runs.Load()))
}

// When an entry of another data centre is lost while it runs a request, the outcome is unknown, also for a keyed
// request and its repeat.
func TestLostPeerMakesOutcomeUnknown(t *testing.T) {
	for _, key := range []string{"", "dc1/refund-1"} {
		f := newFleet(t, "dc1", "dc2")
		began, release := make(chan struct{}), make(chan struct{})
		server := f.addServer("dc2", func(w http.ResponseWriter, r *http.Request) { close(began); waitForRelease(r, release); echo(w, r) })
		go func() { <-began; f.entries[1].stop() }()
		var headers []string
		if key != "" {
			headers = []string{"Idempotency-Key", key}
		}
		got := f.call(f.entries[0], http.MethodPost, "body", headers...)
		close(release)
		must.Eq(t, outcome.Unknown, got.outcome)
		if key == "" {
			continue
		}
		again := f.call(f.entries[0], http.MethodPost, "body", headers...)
		must.Eq(t, outcome.Unknown, again.outcome)
		must.Eq(t, 1, int(server.runs.Load()))
	}
}

// An overflowed request without the headers that carry its ticket is refused.
func TestOverflowWithoutTicketIsRefused(t *testing.T) {
	f := newFleet(t, "dc1")
	req, err := http.NewRequest(http.MethodPost, "http://"+f.entries[0].peerAddress+forward.PeerPrefix+"/x", nil)
	must.NoError(t, err)
	req.Header.Set(forward.HeaderQueue, "q")
	resp, err := http.DefaultClient.Do(req)
	must.NoError(t, err)
	defer resp.Body.Close()
	must.Eq(t, 400, resp.StatusCode)
	must.Eq(t, string(outcome.NotRun), resp.Header.Get(outcome.Header))
}

// An entry learns how many requests run in another data centre.
func TestRunningRequestsOfAnotherDataCentreAreReported(t *testing.T) {
	f := newFleet(t, "dc1", "dc2")
	release := make(chan struct{})
	server := f.addServer("dc2", func(w http.ResponseWriter, r *http.Request) { waitForRelease(r, release); echo(w, r) })
	done := make(chan reply, 1)
	go func() { done <- f.call(f.entries[1], http.MethodPost, "") }()
	eventually(t, "it runs", func() bool { return server.running.Load() == 1 })
	eventually(t, "dc1 knows", func() bool {
		uses := f.entries[0].grantsInUse.fresh(f.entries[0].now(), anyUse)
		return len(uses) == 1 && uses[0].Pools[0].Teams[0].Running == 1
	})
	close(release)
	must.Eq(t, 200, (<-done).status)
}

// An entry of another data centre that accepts connections but does not answer holds a request for overflowResponseTimeout,
// not until its deadline. After that, one request each unreachablePause is sent to it until it answers again.
func TestUnresponsiveDataCentreTimesOutAndIsProbed(t *testing.T) {
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { _ = silent.Close() })
	f := newFleet(t, "dc1", "dc2")
	e := f.entries[0]
	e.overflowEntries.entries["dc2"][0].Address = silent.Addr().String()
	first := f.call(e, http.MethodPost, "body", "Request-Timeout", "60")
	must.NoError(t, first.err)
	must.Eq(t, 502, first.status)
	must.Eq(t, outcome.Unknown, first.outcome)
	must.SliceEmpty(t, e.overflowEntries.targets("p", e.now()))
	later := e.now().Add(unreachablePause)
	must.SliceLen(t, 1, e.overflowEntries.targets("p", later))
	must.SliceEmpty(t, e.overflowEntries.targets("p", later))
	e.overflowEntries.recordAnswer(e.overflowEntries.entries["dc2"][0])
	must.SliceLen(t, 1, e.overflowEntries.targets("p", later))
	must.SliceLen(t, 1, e.overflowEntries.targets("p", later))
}
