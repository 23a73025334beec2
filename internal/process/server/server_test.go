package server

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

func TestReadiness(t *testing.T) {
	ready := &Readiness{}
	mux := http.NewServeMux()
	HandleHealthAndMetrics(mux, ready, http.NotFoundHandler())
	get := func(path string) int {
		w := httptest.NewRecorder()
		mux.ServeHTTP(w, httptest.NewRequest(http.MethodGet, path, nil))
		return w.Code
	}
	must.Eq(t, http.StatusOK, get("/healthz"))
	must.Eq(t, http.StatusServiceUnavailable, get("/readyz"))
	ready.SetCheck(func() (bool, string) { return true, "" })
	must.Eq(t, http.StatusOK, get("/readyz"))
	ready.stopping.Store(true)
	must.Eq(t, http.StatusServiceUnavailable, get("/readyz"))
	must.Eq(t, http.StatusOK, get("/healthz"))
}

// TestGracefulStopCompletesRunningRequest starts a graceful stop while a request runs and checks that the request still gets
// its complete response.
func TestGracefulStopCompletesRunningRequest(t *testing.T) {
	listen := func() net.Listener {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		must.NoError(t, err)
		return l
	}
	l := &Listeners{Public: listen(), Peer: listen()}
	begun, release := make(chan struct{}), make(chan struct{})
	handler := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		close(begun)
		<-release
		_, _ = w.Write([]byte("whole"))
	})
	ready := &Readiness{}
	ctx, cancel := context.WithCancel(context.Background())
	served := make(chan error, 1)
	go func() { served <- Serve(ctx, l, handler, http.NotFoundHandler(), ready, 10*time.Second) }()
	answer := make(chan string, 1)
	go func() {
		resp, err := http.Get("http://" + l.Public.Addr().String())
		if err != nil {
			answer <- err.Error()
			return
		}
		defer resp.Body.Close()
		body, _ := io.ReadAll(resp.Body)
		answer <- string(body)
	}()
	<-begun
	cancel()
	time.AfterFunc(2*unreadyDelay, func() { close(release) })
	must.Eq(t, "whole", <-answer)
	must.NoError(t, <-served)
	must.True(t, ready.Stopping())
}
