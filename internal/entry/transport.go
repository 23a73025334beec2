package entry

import (
	"context"
	"net/http"
	"strings"
	"time"

	"laburnumrouter/internal/connection/backend"
	"laburnumrouter/internal/process/tlsconf"
	"laburnumrouter/internal/request/forward"
	"laburnumrouter/internal/request/routing"
)

const (
	// maxHopsPerEntry bounds the connections to one entry of another data centre.
	maxHopsPerEntry = 1024
	// hopSilence is how long an entry of another data centre may take to say that it has a request. The users' data centres
	// are 3 ms apart, there and back (BRIEF); a packet that is lost twice still arrives within 0.7 s.
	hopSilence = time.Second
)

// newForwarder returns a forwarder with one pool of connections to instances and one to peers.
func newForwarder(secure *tlsconf.Source) *forward.Forwarder {
	peers := backend.Options{MaxConnsPerServer: maxHopsPerEntry, FirstWordTimeout: hopSilence}
	if secure != nil {
		peers.TLS = secure.ClientHTTP1
	}
	return &forward.Forwarder{Instances: backend.NewPool(backend.Options{}), Peers: backend.NewPool(peers)}
}

// withPrefix serves paths under prefix by f. A mux would redirect paths that it finds unclean.
func withPrefix(prefix string, f http.HandlerFunc, rest http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.HasPrefix(r.URL.EscapedPath(), prefix) {
			f(w, r)
			return
		}
		rest.ServeHTTP(w, r)
	})
}

// drainPollInterval is how often a stopping entry looks whether others still need it.
const drainPollInterval = 20 * time.Millisecond

// drainPeers waits until no request of another data centre runs through this entry and no other entry
// holds a grant of it.
func (e *Entry) drainPeers(ctx context.Context) {
	for e.hopping.Load() > 0 || e.grants.size() > 0 {
		if !pause(ctx, drainPollInterval) {
			e.log.Warn("stopped before others had given back what they hold", "hops", e.hopping.Load(), "grants", e.grants.size())
			return
		}
	}
}

func (e *Entry) logRouting(event routing.Event) {
	e.log.Warn("instance "+event.Action, "pool", event.Pool, "instance", event.Instance, "reason", event.Reason)
	e.scope.Tagged(map[string]string{"action": event.Action}).Counter("instance_health").Inc(1)
}
