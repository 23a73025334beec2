package entry

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"laburnumrouter/internal/process/directory"
	"laburnumrouter/internal/request/outcome"
)

// disconnectNoticeTime is ample time for a server to notice that a connection was closed.
const disconnectNoticeTime = 300 * time.Millisecond

// Whatever the first server does, the caller gets the whole response, a correct refusal or an error, and
// only idempotent requests run again on the second server.
func TestServerFaults(t *testing.T) {
	const fourByteHeader = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n" // of a response with a body of 4 bytes
	tests := map[string]struct {
		handler        func(http.ResponseWriter, *http.Request)
		post, get      int // status; 0 for an answer that ends in error
		secondRunsPost int // runs at the second server
		secondRunsGet  int
	}{
		"dies before the answer":    {raw(""), 502, 200, 0, 1},
		"dies within the header":    {raw("HTTP/1.1 200 OK\r\nContent-Le"), 502, 200, 0, 1},
		"dies within the body":      {raw("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nbody"), 0, 0, 0, 0},
		"chunked without its end":   {raw("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n"), 0, 0, 0, 0},
		"without framing":           {raw("HTTP/1.1 200 OK\r\n\r\nbody"), 502, 200, 0, 1},
		"dies after the body":       {raw(fourByteHeader + "body"), 200, 200, 0, 0},
		"overlong":                  {raw(fourByteHeader + "body and more"), 200, 200, 0, 0},
		"two answers":               {raw(fourByteHeader + "body" + fourByteHeader + "evil"), 200, 200, 0, 0},
		"fails":                     {func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(500) }, 500, 500, 0, 0},
		"claims that it didn't run": {raw("HTTP/1.1 200 OK\r\nLaburnum-Outcome: not-run\r\nContent-Length: 4\r\n\r\nbody"), 200, 200, 0, 0},
	}
	for name, tc := range tests {
		for _, method := range []string{http.MethodPost, http.MethodGet} {
			t.Run(name+"/"+method, func(t *testing.T) {
				f := newFleet(t, "dc1")
				e := f.entries[0]
				bad := f.addServer("dc1", tc.handler)
				// The request goes to the first server; a retry avoids that one and goes to the second.
				second := f.addServer("dc1", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("body")) })
				status, secondRuns := tc.post, tc.secondRunsPost
				if method == http.MethodGet {
					status, secondRuns = tc.get, tc.secondRunsGet
				}
				avoidFirst := e.router.Pick("p", bad.name, e.now()) // takes a slot of the second server, so that the first one has fewer in use
				must.Eq(t, second.name, avoidFirst.Instance)
				got := f.call(e, method, "")
				must.Eq(t, 1, int(bad.runs.Load()))
				must.Eq(t, secondRuns, int(second.runs.Load()))
				if status == 0 {
					must.Error(t, got.err)
					return
				}
				must.NoError(t, got.err)
				must.Eq(t, status, got.status)
				switch status {
				case 502:
					must.Eq(t, outcome.Unknown, got.outcome)
				case 200:
					must.Eq(t, "body", got.body)
					must.Eq(t, outcome.Completed, got.outcome)
				}
			})
		}
	}
}

// A request that could not be sent to a server at all runs on another one, whatever its method.
func TestUnreachableServerIsRetriedElsewhere(t *testing.T) {
	f := newFleet(t, "dc1")
	gone := f.addServer("dc1", echo)
	good := f.addServer("dc1", echo)
	e := f.entries[0]
	gone.address = "127.0.0.1:1" // nothing listens on it
	f.announce(e, gone, 2, e.now())
	for range 4 {
		got := f.call(e, http.MethodPost, "body")
		must.Eq(t, 200, got.status)
		must.Eq(t, "body", got.body)
	}
	must.Eq(t, 4, int(good.runs.Load()))
	eventually(t, "all slots and permits are released", func() bool { return e.idle(gone, good) })
}

// Guards against a refusal that says "not run" after a first attempt that may have run: its server died, and no other one was
// free for the retry. If another data centre has one, the request runs there.
func TestRetryWithoutServerLeavesOutcomeUnknown(t *testing.T) {
	for _, elsewhere := range []bool{false, true} {
		f := newFleet(t, "dc1", "dc2")
		e := f.entries[0]
		var dying *testServer
		dying = f.addServer("dc1", func(w http.ResponseWriter, r *http.Request) {
			f.announce(e, dying, 2, e.now().Add(-time.Minute))
			raw("")(w, r)
		})
		if elsewhere {
			f.addServer("dc2", echo)
		}
		got := f.call(e, http.MethodGet, "", "Request-Timeout", "0.3")
		must.Eq(t, 1, int(dying.runs.Load()))
		if elsewhere {
			must.Eq(t, 200, got.status)
			continue
		}
		must.Eq(t, 502, got.status)
		must.Eq(t, outcome.Unknown, got.outcome)
	}
}

// Guards against a request that crashes one backend server after the other, in one data centre after the other: retries of
// idempotent requests are bounded over all of them.
func TestRequestThatCrashesServersReachesFew(t *testing.T) {
	f := newFleet(t, "dc1", "dc2", "dc3")
	var dying []*testServer
	for _, dc := range []string{"dc1", "dc2", "dc3"} {
		for range 2 {
			dying = append(dying, f.addServer(dc, raw("")))
		}
	}
	got := f.call(f.entries[0], http.MethodGet, "", "Request-Timeout", "2")
	must.Eq(t, 502, got.status)
	must.Eq(t, outcome.Unknown, got.outcome)
	runs := 0
	for _, s := range dying {
		runs += int(s.runs.Load())
	}
	must.LessEq(t, maxAttempts, runs)
}

// A connection that no longer delivers anything is given up once the instance's announcements do not list its
// request. The request then fails or is retried according to its method, and new connections serve the next ones.
func TestSilentConnectionIsAbandoned(t *testing.T) {
	for method, status := range map[string]int{http.MethodPost: 502, http.MethodGet: 200} {
		t.Run(method, func(t *testing.T) {
			f := newFleet(t, "dc1")
			e := f.entries[0]
			first := make(chan struct{})
			silent := true
			server := f.addServer("dc1", func(w http.ResponseWriter, r *http.Request) {
				if silent {
					silent = false
					close(first)
					<-r.Context().Done()
					return
				}
				echo(w, r)
			})
			done := make(chan reply, 1)
			go func() { done <- f.call(e, method, "") }()
			<-first
			eventually(t, "the request has waited long for its response header", func() bool { return len(e.awaitingHeader.all()) == 1 })
			x := e.awaitingHeader.all()[0]
			f.announce(e, server, 2, x.sent.Add(listingDelay+time.Millisecond))
			e.checkSilence(x)
			must.True(t, len(e.awaitingHeader.all()) == 1, must.Sprint("one announcement is not enough"))
			f.announce(e, server, 3, x.sent.Add(listingDelay+2*responseTransitTime))
			e.checkSilence(x)
			got := <-done
			must.Eq(t, status, got.status)
			if status == 502 {
				must.Eq(t, outcome.Unknown, got.outcome)
			}
			must.Eq(t, 200, f.call(e, http.MethodPost, "next").status)
		})
	}
}

// A request that may still run keeps its slot and its permit until its server no longer lists it.
func TestUnfinishedWorkKeepsItsPermit(t *testing.T) {
	f := newFleet(t, "dc1")
	e := f.entries[0]
	release := make(chan struct{})
	began := make(chan struct{})
	server := f.addServer("dc1", func(http.ResponseWriter, *http.Request) { close(began); <-release })
	defer close(release)
	ctx, cancel := context.WithCancel(context.Background())
	go func() { <-began; cancel() }()
	got := f.callWith(ctx, e, http.MethodGet, "")
	must.Error(t, got.err)
	eventually(t, "the release is deferred", func() bool {
		e.deferred.mu.Lock()
		defer e.deferred.mu.Unlock()
		return len(e.deferred.list) == 1
	})
	e.releaseFinished(e.now())
	must.False(t, e.idle(server))
	must.Eq(t, 1, e.permits.Running("t"))
	f.announce(e, server, 2, e.now().Add(2*listingDelay))
	e.releaseFinished(e.now())
	must.True(t, e.idle(server))
	e.releaseFinished(e.now())
	must.Eq(t, 0, e.permits.Running("t"))
}

// A request that is not idempotent continues when its caller disconnects.
func TestNonIdempotentRequestContinuesWithoutCaller(t *testing.T) {
	f := newFleet(t, "dc1")
	e := f.entries[0]
	began, release, cut := make(chan struct{}), make(chan struct{}), make(chan bool, 1)
	server := f.addServer("dc1", func(w http.ResponseWriter, r *http.Request) {
		close(began)
		<-release
		select {
		case <-r.Context().Done():
			cut <- true
		case <-time.After(disconnectNoticeTime):
			cut <- false
		}
		echo(w, r)
	})
	ctx, cancel := context.WithCancel(context.Background())
	go func() { <-began; cancel() }()
	got := f.callWith(ctx, e, http.MethodPost, "body")
	must.Error(t, got.err)
	must.False(t, e.idle(server))
	close(release)
	must.False(t, <-cut)
	eventually(t, "all slots and permits are released", func() bool { return e.idle(server) })
}

// When many callers disconnect at once, all places, slots and permits of their requests are released.
func TestDisconnectedCallersReleaseEverything(t *testing.T) {
	f := newFleet(t, "dc1")
	e := f.entries[0]
	release := make(chan struct{})
	server := f.addServer("dc1", func(w http.ResponseWriter, r *http.Request) { waitForRelease(r, release); echo(w, r) })
	ctx, cancel := context.WithCancel(context.Background())
	const callers = 300
	done := make(chan reply, callers)
	for range callers {
		go func() { done <- f.callWith(ctx, e, http.MethodPost, "") }()
	}
	eventually(t, "all wait", func() bool { return e.queue.Waiting("p") == callers-testSlots })
	cancel()
	for range callers {
		must.Error(t, (<-done).err)
	}
	eventually(t, "none waits", func() bool { return e.queue.Waiting("p") == 0 })
	close(release)
	eventually(t, "all slots and permits are released", func() bool { return e.idle(server) })
	must.Eq(t, testSlots, int(server.runs.Load()))
}

// A server gets no new requests once its last announcement is too old; requests are then refused before their deadline.
func TestServerWithExpiredViewGetsNoRequests(t *testing.T) {
	f := newFleet(t, "dc1")
	e := f.entries[0]
	server := f.addServer("dc1", echo)
	must.Eq(t, 200, f.call(e, http.MethodPost, "").status)
	f.announce(e, server, 2, e.now().Add(-directory.ViewLifetime))
	got := f.call(e, http.MethodPost, "", "Request-Timeout", "0.1")
	must.Eq(t, 503, got.status)
	must.Eq(t, outcome.NotRun, got.outcome)
	must.Eq(t, 1, int(server.runs.Load()))
}
