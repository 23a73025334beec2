package leader

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"

	"laburnumrouter/internal/dispatch"
	"laburnumrouter/internal/request/ledger"
	"laburnumrouter/internal/version/accepted"
)

// keeper is a fake leader that keeps staged chunks.
type keeper struct {
	address string
	mu      sync.Mutex
	status  LeaderStatus
	chunks  map[string][]byte
	calls   []dispatch.Call
	largest int // size of a call with chunks
	active  int
	most    int // calls with chunks at a time
	decided *accepted.Config
	// onCall, if set, is called with the number of the call, from 1; it returns false if the call gets no answer.
	onCall func(number int, c *dispatch.Call) bool
	// answer, if set, replaces answers; nil means the usual one.
	answer func(c *dispatch.Call) *dispatch.Reply
}

func newKeeper(t *testing.T, format int) *keeper {
	t.Helper()
	k := &keeper{status: LeaderStatus{Leads: true, Format: format}, chunks: make(map[string][]byte)}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+LeaderPath, func(w http.ResponseWriter, _ *http.Request) {
		k.mu.Lock()
		defer k.mu.Unlock()
		_ = json.NewEncoder(w).Encode(&k.status)
	})
	mux.HandleFunc("POST "+CallPath, k.serve)
	s := httptest.NewServer(mux)
	t.Cleanup(s.Close)
	k.address = strings.TrimPrefix(s.URL, "http://")
	return k
}

func (k *keeper) serve(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	var c dispatch.Call
	_ = json.Unmarshal(body, &c)
	k.mu.Lock()
	k.calls = append(k.calls, c)
	number := len(k.calls)
	if c.Op == dispatch.OpStageConfig {
		k.active++
		k.most, k.largest = max(k.most, k.active), max(k.largest, len(body))
		defer func() {
			k.mu.Lock()
			defer k.mu.Unlock()
			k.active--
		}()
	}
	answered := k.onCall == nil || k.onCall(number, &c)
	k.mu.Unlock()
	if !answered {
		panic(http.ErrAbortHandler)
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	_ = json.NewEncoder(w).Encode(k.decide(&c))
}

func (k *keeper) decide(c *dispatch.Call) *dispatch.Reply {
	if k.answer != nil {
		if reply := k.answer(c); reply != nil {
			return reply
		}
	}
	switch {
	case c.Op == dispatch.OpStageConfig:
		for _, chunk := range c.Chunks {
			k.chunks[string(chunk.Digest)] = chunk.Data
		}
	case c.Config != nil:
		k.decided = c.Config
	default:
		config, missing, err := c.Manifest.Assemble(func(digest []byte) []byte { return k.chunks[string(digest)] })
		if err != nil || len(missing) > 0 {
			return &dispatch.Reply{Outcome: dispatch.Unavailable, Missing: missing, Chunked: true}
		}
		k.decided = config
	}
	return &dispatch.Reply{Outcome: dispatch.OK, Chunked: true}
}

// count returns how many calls were made with chunks, with a manifest and with a whole configuration.
func (k *keeper) count() (stages, offers, whole int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, c := range k.calls {
		switch {
		case c.Op == dispatch.OpStageConfig:
			stages++
		case c.Manifest != nil:
			offers++
		default:
			whole++
		}
	}
	return stages, offers, whole
}

// largeConfig returns a configuration that takes some ten calls.
func largeConfig() *accepted.Config {
	random := rand.New(rand.NewPCG(1, 1))
	c := &accepted.Config{Version: 2, Pools: []accepted.Pool{{Name: "p"}}}
	for i := range 1500 {
		name := make([]byte, 300)
		for k := range name {
			name[k] = "0123456789abcdef"[random.IntN(16)]
		}
		c.Queues = append(c.Queues, accepted.Queue{Name: string(name), Host: "h", Prefix: fmt.Sprintf("/%d/", i), Pool: "p", TimeoutMS: 1000})
	}
	c.Raw, _ = json.Marshal(c.Queues)
	return c
}

func (k *keeper) client(t *testing.T, config *accepted.Config) (*Client, *dispatch.Call) {
	t.Helper()
	return NewClient([]string{k.address}, nil, hclog.NewNullLogger()), &dispatch.Call{Op: dispatch.OpPutConfig, Config: config}
}

// Guards against a hand-in that begins with nothing after a try that ended, at whichever instance, and against calls too large for a
// slow link.
func TestHandInGoesOnWhereAnotherEnded(t *testing.T) {
	k, config := newKeeper(t, ledger.NewestFormat), largeConfig()
	const before = 5 // calls of each try
	for ended := 0; k.decided == nil; ended++ {
		must.Less(t, 10, ended)
		ctx, cancel := context.WithCancel(t.Context())
		began := len(k.calls)
		k.onCall = func(number int, _ *dispatch.Call) bool {
			if number == began+before {
				cancel()
			}
			return number < began+before
		}
		c, call := k.client(t, config) // another instance
		reply := c.Do(ctx, call)
		cancel()
		must.Wait(t, quiet(k))
		if last := &k.calls[len(k.calls)-1]; last.Op == dispatch.OpStageConfig {
			must.EqOp(t, dispatch.Unavailable, reply.Outcome, must.Sprint("staging alone changes nothing"))
		}
	}
	must.EqOp(t, string(config.Raw), string(k.decided.Raw))
	must.EqOp(t, len(config.Queues), len(k.decided.Queues))
	stages, offers, whole := k.count()
	must.Positive(t, offers)
	must.EqOp(t, 0, whole)
	must.Between(t, 6, stages, 30)
	must.Between(t, 1, k.most, stageCalls)
	must.Less(t, 2*dispatch.MaxStageBytes, k.largest)
}

// Guards against a silent connection that costs more than one small call, and against a leader that is given up although it answers
// other calls.
func TestSilentConnectionCostsOneSmallCall(t *testing.T) {
	k := newKeeper(t, ledger.NewestFormat)
	c, call := k.client(t, largeConfig())
	c.timeoutPerAttempt = 2 * time.Second
	silent := make(chan struct{})
	t.Cleanup(func() { close(silent) })
	k.onCall = func(number int, _ *dispatch.Call) bool {
		if number == 3 {
			k.mu.Unlock()
			<-silent
			k.mu.Lock()
			return false
		}
		return true
	}
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	_, err := c.findLeader(ctx)
	must.NoError(t, err)
	must.EqOp(t, dispatch.OK, c.Do(ctx, call).Outcome)
	sent := make(map[string]int)
	again := 0
	for _, call := range k.calls {
		for _, chunk := range call.Chunks {
			if sent[string(chunk.Digest)]++; sent[string(chunk.Digest)] == 2 {
				again++
			}
		}
	}
	must.EqOp(t, len(k.calls[2].Chunks), again, must.Sprint("only the chunks of the call without an answer are sent again"))
	must.False(t, c.gap.open)
	must.EqOp(t, 0, c.gap.since, must.Sprint("the leader was never given up"))
}

// Guards against a leader of an earlier version, or a log of an earlier format, whose answer to an unknown call reaches the operator.
func TestConfigurationGoesWholeToEarlierVersions(t *testing.T) {
	refuses := func(reply dispatch.Reply) func(*dispatch.Call) *dispatch.Reply {
		return func(c *dispatch.Call) *dispatch.Reply {
			if c.Config != nil {
				return nil
			}
			return &reply
		}
	}
	cases := []struct {
		name   string
		format int
		answer func(*dispatch.Call) *dispatch.Reply
		offers int
	}{
		{"reports an earlier format", ledger.FormatConfigChunks - 1, refuses(dispatch.Reply{Outcome: dispatch.Invalid}), 0},
		{"was replaced by an earlier version", ledger.NewestFormat, refuses(dispatch.Reply{Outcome: dispatch.Invalid}), 1},
		{"has a log of an earlier format", ledger.NewestFormat, refuses(dispatch.Reply{Outcome: dispatch.Unavailable, Whole: true, Chunked: true}), 1},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			k, config := newKeeper(t, test.format), largeConfig()
			k.answer = test.answer
			c, call := k.client(t, config)
			must.EqOp(t, dispatch.OK, c.Do(t.Context(), call).Outcome)
			must.EqOp(t, string(config.Raw), string(k.decided.Raw))
			stages, offers, whole := k.count()
			must.Eq(t, []int{0, test.offers, 1}, []int{stages, offers, whole})
		})
	}
}

// Guards against an operator who is told that a configuration isn't in force while it may be, or that it may be while it certainly isn't.
func TestOutcomeOfHandInIsTrue(t *testing.T) {
	gone := func(k *keeper) bool { k.status.Leads = false; return false }
	cases := []struct {
		name   string
		onCall func(k *keeper, number int, c *dispatch.Call) bool
		want   dispatch.Outcome
	}{
		{"first offer without an answer", func(k *keeper, _ int, _ *dispatch.Call) bool { return gone(k) }, dispatch.OutcomeUnknown},
		{"chunks without an answer", func(k *keeper, number int, _ *dispatch.Call) bool { return number == 1 || gone(k) }, dispatch.Unavailable},
		{"offer without an answer, then refused", func(k *keeper, number int, _ *dispatch.Call) bool {
			k.answer = func(*dispatch.Call) *dispatch.Reply {
				return &dispatch.Reply{Outcome: dispatch.Unavailable, RetryAfterMS: 1000, Chunked: true}
			}
			return number > 1
		}, dispatch.OutcomeUnknown},
		{"refused", func(k *keeper, _ int, _ *dispatch.Call) bool {
			k.answer = func(*dispatch.Call) *dispatch.Reply {
				return &dispatch.Reply{Outcome: dispatch.Unavailable, RetryAfterMS: 1000, Chunked: true}
			}
			return true
		}, dispatch.Unavailable},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			k := newKeeper(t, ledger.NewestFormat)
			k.onCall = func(number int, c *dispatch.Call) bool { return test.onCall(k, number, c) }
			c, call := k.client(t, largeConfig())
			ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
			defer cancel()
			reply := c.Do(ctx, call)
			must.EqOp(t, test.want, reply.Outcome, must.Sprint(reply.Reason))
			if test.want == dispatch.Unavailable {
				must.Positive(t, reply.RetryAfterMS)
			}
		})
	}
}

// quiet waits until no call is under way.
func quiet(k *keeper) *wait.Constraint {
	return wait.InitialSuccess(wait.BoolFunc(func() bool {
		k.mu.Lock()
		defer k.mu.Unlock()
		return k.active == 0
	}), wait.Timeout(10*time.Second), wait.Gap(time.Millisecond))
}

// Guards against a valid configuration that is called invalid because the leader asks for chunks that it doesn't have.
func TestUnknownChunksDontMakeConfigurationInvalid(t *testing.T) {
	k := newKeeper(t, ledger.NewestFormat)
	k.answer = func(*dispatch.Call) *dispatch.Reply {
		return &dispatch.Reply{Outcome: dispatch.Unavailable, Missing: [][]byte{make([]byte, 32)}, Chunked: true}
	}
	c, call := k.client(t, largeConfig())
	must.EqOp(t, dispatch.Unavailable, c.Do(t.Context(), call).Outcome)
}
