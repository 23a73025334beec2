// Package server runs the HTTP listeners of a process, with health endpoints, readiness and a graceful stop.
package server

import (
	"context"
	"crypto/tls"
	"errors"
	"log"
	"net"
	"net/http"
	"os"
	"os/signal"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/zeebo/errs"
	"golang.org/x/sync/errgroup"

	"laburnumrouter/internal/process/settings"
	"laburnumrouter/internal/process/tlsconf"
)

// Error is the class of all errors of this package.
var Error = errs.Class("server")

const (
	readHeaderTimeout = 10 * time.Second
	idleTimeout       = 60 * time.Second
	maxHeaderBytes    = 64 << 10
	// maxStreams and streamsBuffer bound the requests on one HTTP/2 connection of a client and what it may have sent of them.
	maxStreams    = 64
	streamsBuffer = 256 << 10
	// streamsWriteTimeout is the time without progress after which an HTTP/2 connection with something to be written is closed.
	streamsWriteTimeout = 20 * time.Second
	// unreadyDelay is how long a stopping process keeps serving while /readyz reports it as unready, so that load balancers
	// stop sending to it.
	unreadyDelay = 200 * time.Millisecond
)

// Readiness is the state that /readyz reports to load balancers. Its zero value is not ready.
type Readiness struct {
	stopping atomic.Bool
	check    atomic.Pointer[func() (bool, string)]
}

// SetCheck sets the function that decides readiness while the process is not stopping.
func (r *Readiness) SetCheck(check func() (ready bool, reason string)) { r.check.Store(&check) }

// Stopping reports whether a graceful stop has begun.
func (r *Readiness) Stopping() bool { return r.stopping.Load() }

// Ready reports whether the process accepts work and, if not, the reason.
func (r *Readiness) Ready() (bool, string) {
	if r.stopping.Load() {
		return false, "stopping"
	}
	check := r.check.Load()
	if check == nil {
		return false, "starting"
	}
	return (*check)()
}

// HandleHealthAndMetrics adds /healthz, /readyz and /metrics to mux.
func HandleHealthAndMetrics(mux *http.ServeMux, ready *Readiness, metrics http.Handler) {
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte("ok\n"))
	})
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		ok, reason := ready.Ready()
		if !ok {
			http.Error(w, reason, http.StatusServiceUnavailable)
			return
		}
		_, _ = w.Write([]byte("ready\n"))
	})
	mux.Handle("GET /metrics", metrics)
}

// Listeners holds the two bound listeners of a process.
type Listeners struct {
	Public net.Listener
	Peer   net.Listener
	// Drain is called during a graceful stop, after the public listener has finished. It waits until peers no longer
	// need this process or the context ends; nil if there is nothing to wait for.
	Drain     func(ctx context.Context)
	tlsSource *tlsconf.Source
	intake    *Intake
	log       hclog.Logger
}

// LimitClients makes Serve bound what the clients of the public listener hold.
func (l *Listeners) LimitClients(intake *Intake) { l.intake = intake }

// UseTLS makes Serve use TLS on both listeners, with the certificates of source; a nil source leaves them without TLS.
// Failed handshakes are logged.
func (l *Listeners) UseTLS(source *tlsconf.Source, log hclog.Logger) {
	l.tlsSource = source
	l.log = log
}

const (
	// listenFDs is the environment variable of systemd's socket activation: the number of inherited listeners.
	listenFDs     = "LISTEN_FDS"
	firstListenFD = 3
)

// Listen binds both addresses, or takes the two listeners that a service manager passed on as file
// descriptors 3 (public) and 4 (peer) with LISTEN_FDS=2.
func Listen(n *settings.Node) (*Listeners, error) {
	if os.Getenv(listenFDs) == "2" {
		return inheritListeners()
	}
	public, err := net.Listen("tcp", n.Listen)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	peer, err := net.Listen("tcp", n.PeerListen)
	if err != nil {
		return nil, Error.Wrap(errs.Combine(err, public.Close()))
	}
	return &Listeners{Public: public, Peer: peer}, nil
}

func inheritListeners() (*Listeners, error) {
	public, err := inheritListener(firstListenFD)
	if err != nil {
		return nil, err
	}
	peer, err := inheritListener(firstListenFD + 1)
	if err != nil {
		return nil, errs.Combine(err, public.Close())
	}
	return &Listeners{Public: public, Peer: peer}, nil
}

func inheritListener(fd uintptr) (net.Listener, error) {
	file := os.NewFile(fd, "listener")
	l, err := net.FileListener(file)
	return l, Error.Wrap(errs.Combine(err, file.Close()))
}

// Serve serves both handlers until ctx ends and then stops gracefully: it reports the process as unready and lets
// running requests complete, for at most stopTimeout. The peer listener stays open until the public one has finished.
func Serve(ctx context.Context, l *Listeners, public, peer http.Handler, ready *Readiness, stopTimeout time.Duration) error {
	publicServer := newServer(public)
	publicServer.HTTP2 = &http.HTTP2Config{
		MaxConcurrentStreams: maxStreams, MaxReceiveBufferPerConnection: streamsBuffer, MaxReceiveBufferPerStream: streamsBuffer,
		WriteByteTimeout: streamsWriteTimeout,
	}
	peerServer := newServer(peer)
	peerServer.Protocols.SetUnencryptedHTTP2(true)
	sweeping, stopSweeping := context.WithCancel(context.Background())
	defer stopSweeping()
	if l.intake != nil {
		l.Public, l.Peer = l.intake.Public("public", publicServer, l.Public), l.intake.Trusted("peers", l.Peer)
		go l.intake.Run(sweeping)
	}
	if l.tlsSource != nil {
		enableTLS(publicServer, l.tlsSource.Public(), l.log)
		enableTLS(peerServer, l.tlsSource.Peer(), l.log)
	}
	var group errgroup.Group
	group.Go(func() error { return serveListener(publicServer, l.Public) })
	group.Go(func() error { return serveListener(peerServer, l.Peer) })
	group.Go(func() error {
		<-ctx.Done()
		ready.stopping.Store(true)
		time.Sleep(unreadyDelay)
		stopCtx, cancel := context.WithTimeout(context.Background(), stopTimeout)
		defer cancel()
		err := publicServer.Shutdown(stopCtx)
		if l.Drain != nil {
			l.Drain(stopCtx)
		}
		// Only long polls remain on connections of peers; closing them loses no caller's request.
		return errs.Combine(err, peerServer.Close())
	})
	return Error.Wrap(group.Wait())
}

func newServer(h http.Handler) *http.Server {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	return &http.Server{
		Handler:           h,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		Protocols:         protocols,
	}
}

// enableTLS makes a server use TLS with config and log failed handshakes.
func enableTLS(s *http.Server, config *tls.Config, logger hclog.Logger) {
	s.TLSConfig = config
	s.Protocols.SetHTTP2(true)
	s.ErrorLog = log.New(&serverErrorLog{logger}, "", 0)
}

func serveListener(s *http.Server, l net.Listener) error {
	serve := s.Serve
	if s.TLSConfig != nil {
		serve = func(l net.Listener) error { return s.ServeTLS(l, "", "") }
	}
	err := serve(l)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// SignalContext returns a context that ends on SIGTERM or SIGINT.
func SignalContext() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
}
