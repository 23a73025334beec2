package peer

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/shoenig/test/must"

	"laburnumrouter/internal/process/logging"
	"laburnumrouter/internal/process/server"
	"laburnumrouter/internal/process/settings"
	"laburnumrouter/internal/process/tlsconf"
	laburnumv1 "laburnumrouter/proto/laburnum/v1"
	"laburnumrouter/proto/laburnum/v1/laburnumv1connect"
	"laburnumrouter/test/certtest"
)

// lockedBuffer is a log output that a test can read while servers write to it.
type lockedBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}

func newIdentity(t *testing.T, ca *certtest.Authority, name, trusted string, notAfter time.Time, log hclog.Logger) (*tlsconf.Source, settings.TLS) {
	cert, key := ca.Issue(t, t.TempDir(), name, notAfter)
	files := settings.TLS{Cert: cert, Key: key, PeerCA: trusted}
	source, err := tlsconf.Open(files, log)
	must.NoError(t, err)
	return source, files
}

// reporter is a report service, so that a call to the peer can succeed.
type reporter struct {
	laburnumv1connect.UnimplementedReportServiceHandler
}

func (reporter) Report(context.Context, *laburnumv1.ReportRequest) (*laburnumv1.ReportResponse, error) {
	return &laburnumv1.ReportResponse{Leader: "control-1"}, nil
}

// serveTLS runs a process's listeners with the certificate of source and returns the peer address.
func serveTLS(t *testing.T, source *tlsconf.Source, log hclog.Logger) string {
	listen := func() net.Listener {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		must.NoError(t, err)
		return l
	}
	listeners := &server.Listeners{Public: listen(), Peer: listen()}
	listeners.UseTLS(source, log)
	mux := http.NewServeMux()
	mux.Handle(laburnumv1connect.NewReportServiceHandler(reporter{}))
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- server.Serve(ctx, listeners, mux, mux, &server.Readiness{}, time.Second) }()
	t.Cleanup(func() {
		cancel()
		must.NoError(t, <-done)
	})
	return listeners.Peer.Addr().String()
}

func report(source *tlsconf.Source, address string) error {
	p := NewSecureDialer(source).Peer(settings.Peer{Address: address})
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	_, err := p.Report.Report(ctx, &laburnumv1.ReportRequest{})
	return err
}

func TestMutualTLS(t *testing.T) {
	dir := t.TempDir()
	ours := certtest.NewAuthority(t, dir, "ours")
	theirs := certtest.NewAuthority(t, dir, "theirs")
	valid := time.Now().Add(time.Hour)
	tests := []struct {
		name   string
		ca     *certtest.Authority
		expiry time.Time
		want   string // in the server's log; empty if the call succeeds
	}{
		{"same authority", ours, valid, ""},
		{"other authority", theirs, valid, "certificate signed by unknown authority"},
		{"expired", ours, time.Now().Add(-time.Hour), "certificate has expired"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var out lockedBuffer
			log := logging.New(&out, "test", "server", "info")
			source, _ := newIdentity(t, ours, "server", ours.File, valid, log)
			address := serveTLS(t, source, log)
			client, _ := newIdentity(t, tt.ca, "client", ours.File, tt.expiry, logging.Discard())
			err := report(client, address)
			if tt.want == "" {
				must.NoError(t, err)
				return
			}
			must.Error(t, err)
			must.Wait(t, waitFor(func() bool { return strings.Contains(out.String(), tt.want) }))
			must.Eq(t, 1, strings.Count(out.String(), "TLS handshake refused"))
			must.Eq(t, 1, strings.Count(out.String(), "\n"))
		})
	}
}

// TestClientRefusesServer dials a server whose certificate comes from another authority: the client fails and logs one line.
func TestClientRefusesServer(t *testing.T) {
	dir := t.TempDir()
	ours := certtest.NewAuthority(t, dir, "ours")
	theirs := certtest.NewAuthority(t, dir, "theirs")
	valid := time.Now().Add(time.Hour)
	impostor, _ := newIdentity(t, theirs, "server", ours.File, valid, logging.Discard())
	address := serveTLS(t, impostor, logging.Discard())
	var out lockedBuffer
	client, _ := newIdentity(t, ours, "client", ours.File, valid, logging.New(&out, "test", "client", "info"))
	must.Error(t, report(client, address))
	must.StrContains(t, out.String(), "TLS with peer refused")
	must.StrContains(t, out.String(), "unknown authority")
	must.Eq(t, 1, strings.Count(out.String(), "\n"))
}

// TestReload replaces the server's expired certificate while it runs.
func TestReload(t *testing.T) {
	dir := t.TempDir()
	ca := certtest.NewAuthority(t, dir, "ca")
	var out lockedBuffer
	log := logging.New(&out, "test", "server", "info")
	source, files := newIdentity(t, ca, "server", ca.File, time.Now().Add(-time.Minute), log)
	address := serveTLS(t, source, log)
	client, _ := newIdentity(t, ca, "client", ca.File, time.Now().Add(time.Hour), logging.Discard())
	must.Error(t, report(client, address))

	fresh := t.TempDir()
	cert, key := ca.Issue(t, fresh, "server", time.Now().Add(time.Hour))
	replaceFile(t, key, files.Key)
	replaceFile(t, cert, files.Cert)
	must.Wait(t, waitFor(func() bool { return report(client, address) == nil }))
	must.StrContains(t, out.String(), "certificates reloaded")
}
