package jobcontrol

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"

	"laburnumrouter/internal/dispatch"
	"laburnumrouter/internal/leader"
	"laburnumrouter/proto/laburnum/v1/laburnumv1connect"
)

// statusHandler answers each call with the leader's status, unless it is one of operatorHandler.
func statusHandler(do func(context.Context, *dispatch.Call) *dispatch.Reply) http.Handler {
	operators := operatorHandler(do)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == configPath {
			operators.ServeHTTP(w, r)
			return
		}
		ctx, cancel := context.WithTimeout(r.Context(), 2*time.Second)
		defer cancel()
		_ = json.NewEncoder(w).Encode(do(ctx, &dispatch.Call{Op: dispatch.OpStatus}))
	})
}

// get decodes the answer of a listener, asked on a new connection, into reply.
func get(address, path string, reply any) error {
	client := http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + address + path)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	return json.NewDecoder(resp.Body).Decode(reply)
}

// leads returns which instance leads, and in which term.
func (c *cluster) leads() (instance int, term uint64) {
	c.t.Helper()
	r := c.do(&dispatch.Call{Op: dispatch.OpStatus})
	for r.Leader != c.address(instance, c.publicPort) {
		instance++
		must.Less(c.t, len(c.stop), instance)
	}
	return instance, r.Status.Term
}

// Guards against an instance that refuses connections, or disturbs the leader or the membership, while its disk is full for long: a
// follower's, and that of the leader, which another instance has to replace once.
func TestInstanceWithFullDiskForwardsCalls(t *testing.T) {
	for name, offset := range map[string]int{"leader": 0, "follower": 1} {
		t.Run(name, func(t *testing.T) {
			c := newCluster(t, nil)
			c.configure()
			first, _ := c.leads()
			c.checkLongOutage((first + offset) % founders)
		})
	}
}

// checkLongOutage lets the disk of an instance be full for some attempts to open its folder, while changes and calls to it come.
func (c *cluster) checkLongOutage(victim int) {
	for i := range founders {
		c.waitUntil(func() bool { return c.isListening(c.peerAddress(i)) && c.isListening(c.address(i, c.publicPort)) })
	}
	c.disks[victim].full.Store(true)
	version := int64(1)
	change := func() {
		version++
		c.do(&dispatch.Call{Op: dispatch.OpPutConfig, Config: rollingConfig(version)})
	}
	c.waitUntil(func() bool { change(); first, _ := c.leads(); return first != victim })
	first, term := c.leads()
	changes := c.log.count("membership of the log changes")
	for c.log.count("the data folder failed") < 3 {
		must.Less(c.t, 5000, version)
		change()
		for range 4 {
			var reply dispatch.Reply
			var status leader.LeaderStatus
			must.NoError(c.t, get(c.address(victim, c.publicPort), "/", &reply))
			must.EqOp(c.t, dispatch.OK, reply.Outcome)
			must.NoError(c.t, get(c.peerAddress(victim), leader.LeaderPath, &status))
			must.False(c.t, status.Leads)
		}
		time.Sleep(20 * time.Millisecond)
	}
	again, newTerm := c.leads()
	must.EqOp(c.t, first, again)
	must.EqOp(c.t, term, newTerm)
	must.EqOp(c.t, changes, c.log.count("membership of the log changes"))
	must.EqOp(c.t, 1, c.log.count("journal failed: "), must.Sprint("it took part again without room"))

	c.disks[victim].full.Store(false)
	c.waitUntil(func() bool {
		var status leader.LeaderStatus
		return get(c.peerAddress(victim), leader.LeaderPath, &status) == nil && status.Leader == c.peerAddress(first)
	})
}

// Guards against callers that are kept waiting while the disks of a quorum are full, the leader's among them, and against accepted jobs, a
// configuration or a stable leader that are missing after they have room again.
func TestDisksOfQuorumFullAtOnce(t *testing.T) {
	for name, disks := range map[string]int{"all": founders, "leader and a follower": 2} {
		t.Run(name, func(t *testing.T) { newCluster(t, nil).checkLostQuorum(disks) })
	}
}

// checkLostQuorum fills a number of disks, the leader's first, and gives them room again.
func (c *cluster) checkLostQuorum(disks int) {
	t := c.t
	c.configure()
	c.submit("before")
	first, _ := c.leads()
	for i := range disks {
		c.disks[(first+i)%founders].full.Store(true)
	}
	config := rollingConfig(1)
	c.waitUntil(func() bool {
		config = rollingConfig(config.Version + 1)
		ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
		defer cancel()
		change := c.client.Do(ctx, &dispatch.Call{Op: dispatch.OpPutConfig, Config: config})
		must.NotEqOp(t, dispatch.OK, change.Outcome)
		return c.log.count("journal failed: ") >= founders-1 && change.Outcome == dispatch.Unavailable // the third may have nothing to write
	})
	const calls = 30
	served := 0
	for range calls {
		reply := c.client.Do(context.Background(), &dispatch.Call{Op: dispatch.OpSubmit, Host: "h", Path: "/q/late"})
		must.EqOp(t, dispatch.Unavailable, reply.Outcome)
		must.Positive(t, reply.RetryAfterMS)
		for i := range founders {
			if err := get(c.address(i, c.publicPort), "/", &reply); err == nil {
				served++
				must.EqOp(t, dispatch.Unavailable, reply.Outcome)
				must.Positive(t, reply.RetryAfterMS)
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	must.EqOp(t, calls*founders, served)

	for i := range c.disks {
		c.disks[i].full.Store(false)
	}
	c.waitUntil(func() bool { return c.completed("before") })
	config = rollingConfig(config.Version + 1)
	must.EqOp(t, dispatch.OK, c.do(&dispatch.Call{Op: dispatch.OpPutConfig, Config: config}).Outcome)
	must.Eq(t, config.Raw, c.do(&dispatch.Call{Op: dispatch.OpGetConfig}).Config)
	_, term := c.leads()
	for i := range 20 {
		c.submit(string(rune('a' + i)))
	}
	_, again := c.leads()
	must.EqOp(t, term, again)
}

// Guards against a voter that can't write but keeps its place while a new instance could take it, against an instance that joins before it
// can write, and against a membership that goes to and fro.
func TestJoinerTakesPlaceOfVoterWithFullDisk(t *testing.T) {
	c := newCluster(t, nil)
	c.configure()
	first, term := c.leads()
	victim := (first + 1) % founders
	c.disks[victim].full.Store(true)
	version := int64(1)
	change := func() {
		version++
		must.EqOp(t, dispatch.OK, c.do(&dispatch.Call{Op: dispatch.OpPutConfig, Config: rollingConfig(version)}).Outcome)
	}
	c.waitUntil(func() bool { change(); return c.log.has("the data folder failed") })
	c.disks[3].full.Store(true)
	c.start(3, false)
	c.waitUntil(func() bool { change(); return c.log.count("founder=false") > 2 })
	must.False(t, c.log.has(" add=1"))
	c.disks[3].full.Store(false)
	c.waitUntil(func() bool { change(); return c.log.has("remove=" + c.peerAddress(victim) + " ") })
	c.stop[victim]()
	c.start(victim, false)
	c.waitUntil(func() bool {
		change()
		return c.log.has("held_back=true") || c.log.has("add="+c.peerAddress(victim)+" ")
	})
	must.False(t, c.log.has("add="+c.peerAddress(victim)+" "))
	c.disks[victim].full.Store(false)
	c.waitUntil(func() bool { change(); return c.log.has("add=" + c.peerAddress(victim) + " ") })
	for range 40 {
		change()
		time.Sleep(50 * time.Millisecond)
	}
	must.EqOp(t, 2, c.log.count(" add=1"))
	must.EqOp(t, 1, c.log.count(" promote=1"))
	must.EqOp(t, 1, c.log.count(" remove=1"))
	again, newTerm := c.leads()
	must.EqOp(t, first, again)
	must.EqOp(t, term, newTerm)
}

// Guards against an instance that stays away for a whole pause although its disk has room: the next disk may be full meanwhile. A folder
// that fails with room on the disk isn't opened before the pause is over.
func TestPauseEndsOnceThereIsRoom(t *testing.T) {
	var lines logBuffer
	var fs disk
	fs.full.Store(true)
	c := &control{
		settings: &Settings{DataDir: t.TempDir()}, deps: Dependencies{FS: &fs}, log: hclog.New(&hclog.LoggerOptions{Output: &lines}),
	}
	ended := make(chan struct{})
	go func() { defer close(ended); c.awaitRoom(t.Context(), time.Hour) }()
	until := func(f func() bool) {
		must.Wait(t, wait.InitialSuccess(wait.BoolFunc(f), wait.Timeout(60*time.Second), wait.Gap(10*time.Millisecond)))
	}
	until(func() bool { return fs.refused.Load() > 1 })
	must.Zero(t, lines.count("room again"))
	fs.full.Store(false)
	until(func() bool { return lines.count("room again") == 1 })
	<-ended
	c.awaitRoom(t.Context(), 4*roomCheckInterval)
	must.EqOp(t, 1, lines.count("room again"))
}

// Guards against an instance whose data folder fails that counts as one which takes part, keeps a new instance from finding the
// leader, or is taken for one of an earlier version.
func TestAbsentInstanceAnswersOtherProcesses(t *testing.T) {
	s := httptest.NewServer(absentHandler([]string{"a", "b"}))
	defer s.Close()
	for _, tt := range []struct {
		method, path string
		status       int
		body         string
	}{
		{"GET", leader.LeaderPath, http.StatusOK, `"Failing":true,"Members":["a","b"]`},
		{"POST", leader.CallPath, http.StatusMisdirectedRequest, "does not lead"},
		{"POST", joinPath, http.StatusOK, `{"Members":["a","b"]}`},
		{"POST", laburnumv1connect.ReplicaServiceStreamProcedure, http.StatusServiceUnavailable, "takes no part"},
	} {
		req, err := http.NewRequest(tt.method, s.URL+tt.path, strings.NewReader("{}"))
		must.NoError(t, err)
		resp, err := http.DefaultClient.Do(req)
		must.NoError(t, err)
		body, err := io.ReadAll(resp.Body)
		must.NoError(t, errors.Join(err, resp.Body.Close()))
		must.EqOp(t, tt.status, resp.StatusCode, must.Sprint(tt.path))
		must.StrContains(t, string(body), tt.body)
	}
}
