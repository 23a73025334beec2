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
	// maxConnsPerRemoteEntry limits the connections to one entry of another data centre.
	maxConnsPerRemoteEntry = 1024
	// overflowResponseTimeout is how long an entry of another data centre may take to confirm that it has a request. The
	// round trip between data centres is assumed to take 3 ms; a packet that is lost twice still arrives within 0.7 s.
	overflowResponseTimeout = time.Second
)

// newForwarder returns a forwarder with one connection pool for instances and one for entries of other data centres.
func newForwarder(tlsSource *tlsconf.Source) *forward.Forwarder {
	peers := backend.Options{MaxConnsPerServer: maxConnsPerRemoteEntry, FirstResponseTimeout: overflowResponseTimeout}
	if tlsSource != nil {
		peers.TLS = tlsSource.ClientHTTP1
	}
	return &forward.Forwarder{Instances: backend.NewPool(backend.Options{}), Peers: backend.NewPool(peers)}
}

// withPrefix serves paths under prefix with f and all others with rest. A ServeMux would redirect unclean paths
// instead of passing them on as they are.
func withPrefix(prefix string, f http.HandlerFunc, rest http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.HasPrefix(r.URL.EscapedPath(), prefix) {
			f(w, r)
			return
		}
		rest.ServeHTTP(w, r)
	})
}

// drainPollInterval is how often a stopping entry checks whether other entries still need it.
const drainPollInterval = 20 * time.Millisecond

// drainPeers waits until this entry runs no more requests for other data centres and no other entry holds a
// grant that this entry issued.
func (e *Entry) drainPeers(ctx context.Context) {
	for e.inboundOverflows.Load() > 0 || e.grants.size() > 0 {
		if !pause(ctx, drainPollInterval) {
			e.log.Warn("stopped before others had given back what they hold", "hops", e.inboundOverflows.Load(), "grants", e.grants.size())
			return
		}
	}
}

func (e *Entry) logRouting(event routing.Event) {
	e.log.Warn("instance "+event.Action, "pool", event.Pool, "instance", event.Instance, "reason", event.Reason)
	e.scope.Tagged(map[string]string{"action": event.Action}).Counter("instance_health").Inc(1)
}
