package server

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

// silentConnTime is how long Shutdown waits for the first byte on a connection.
const silentConnTime = 200 * time.Millisecond

// SilentConns are the connections of a server on which nothing has arrived yet. Clients open some in reserve, and
// http.Server.Shutdown waits 5 s for their first request.
type SilentConns struct {
	server *http.Server

	mu    sync.Mutex
	conns map[net.Conn]bool
}

// TrackSilentConns tracks the connections of a server. It is called before the server serves, and sets its ConnState.
func TrackSilentConns(s *http.Server) *SilentConns {
	t := &SilentConns{server: s, conns: make(map[net.Conn]bool)}
	s.ConnState = func(c net.Conn, state http.ConnState) {
		t.mu.Lock()
		defer t.mu.Unlock()
		if state == http.StateNew {
			t.conns[c] = true
		} else {
			delete(t.conns, c)
		}
	}
	return t
}

// Shutdown shuts the server down gracefully, like http.Server.Shutdown, but closes silent connections after silentConnTime. It
// suits servers whose clients repeat a call that was not answered.
func (t *SilentConns) Shutdown(ctx context.Context) error {
	timer := time.AfterFunc(silentConnTime, t.close)
	defer timer.Stop()
	return t.server.Shutdown(ctx)
}

func (t *SilentConns) close() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for c := range t.conns {
		_ = c.Close()
	}
}
