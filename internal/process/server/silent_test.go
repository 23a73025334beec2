package server

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Guards against a planned stop that waits for connections which a client has opened in reserve, and against one that cuts a
// request in progress.
func TestShutdownDoesNotWaitForSilentConnections(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	begun, release := make(chan struct{}), make(chan struct{})
	s := &http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		close(begun)
		<-release
	}), ReadHeaderTimeout: time.Minute}
	conns := TrackSilentConns(s)
	go func() { _ = s.Serve(l) }()
	silent, err := net.Dial("tcp", l.Addr().String())
	must.NoError(t, err)
	answered := make(chan error, 1)
	go func() {
		resp, err := http.Get("http://" + l.Addr().String())
		if err == nil {
			err = resp.Body.Close()
		}
		answered <- err
	}()
	<-begun
	stopped := make(chan error, 1)
	go func() { stopped <- conns.Shutdown(context.Background()) }()
	must.NoError(t, silent.SetReadDeadline(time.Now().Add(4*time.Second)))
	_, err = silent.Read(make([]byte, 1))
	must.Error(t, err)
	timeout, isTimeout := err.(net.Error)
	must.False(t, isTimeout && timeout.Timeout(), must.Sprint("closed before http.Server would"))
	close(release)
	must.NoError(t, <-answered)
	must.NoError(t, <-stopped)
}
