package jobcontrol

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"laburnumrouter/internal/dispatch"
	"laburnumrouter/internal/version/accepted"
)

// largeConfig returns a configuration of some hundred kilobytes.
func largeConfig(version int64) *accepted.Config {
	random := rand.New(rand.NewPCG(1, uint64(version)))
	c := rollingConfig(version)
	for i := range 3000 {
		q := c.Queues[0]
		q.Name, q.Prefix = fmt.Sprintf("q-%016x", random.Uint64()), fmt.Sprintf("/large/%d/", i)
		c.Queues = append(c.Queues, q)
	}
	c.Raw, _ = json.Marshal(c.Queues)
	return c
}

// configHandler puts the large configuration with the version in a PUT's body in force, or answers the one in force.
func configHandler(do func(context.Context, *dispatch.Call) *dispatch.Reply) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ctx, cancel := context.WithTimeout(r.Context(), 5*time.Second)
		defer cancel()
		call := &dispatch.Call{Op: dispatch.OpGetConfig}
		if r.Method == http.MethodPut {
			var version int64
			_ = json.NewDecoder(r.Body).Decode(&version)
			call = &dispatch.Call{Op: dispatch.OpPutConfig, Config: largeConfig(version)}
		}
		_ = json.NewEncoder(w).Encode(do(ctx, call))
	})
}

// askConfig makes a request to an instance.
func (c *cluster) askConfig(i int, method, body string) *dispatch.Reply {
	c.t.Helper()
	reply := &dispatch.Reply{}
	c.waitUntil(func() bool {
		req, err := http.NewRequestWithContext(c.t.Context(), method, "http://"+c.address(i, c.publicPort), strings.NewReader(body))
		must.NoError(c.t, err)
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			return false
		}
		defer func() { _ = resp.Body.Close() }()
		data, err := io.ReadAll(resp.Body)
		return err == nil && json.Unmarshal(data, reply) == nil && reply.Outcome == dispatch.OK
	})
	return reply
}

// Guards against a large configuration that an instance that doesn't lead can't hand in or read back, before and after the log takes
// chunks, and against one that is lost when all instances restart.
func TestLargeConfigurationAtEachInstance(t *testing.T) {
	c := prepareCluster(t, nil)
	c.public = configHandler
	c.startFounders()
	version := int64(1)
	for _, chunked := range []bool{false, true} {
		if chunked {
			c.waitUntil(func() bool { return c.log.has("format of the log raised") })
		}
		for i := range founders {
			version++
			c.askConfig(i, http.MethodPut, fmt.Sprint(version))
			want := string(largeConfig(version).Raw)
			for k := range founders {
				must.EqOp(t, want, string(c.askConfig(k, http.MethodGet, "").Config))
			}
		}
	}
	must.Between(t, 1, c.log.count("configuration chunks staged"), 3*founders*30)
	for _, stop := range c.stop[:founders] {
		stop()
	}
	for i := range founders {
		c.start(i, false)
	}
	must.EqOp(t, string(largeConfig(version).Raw), string(c.askConfig(1, http.MethodGet, "").Config))
}
