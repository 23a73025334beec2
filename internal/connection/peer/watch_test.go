package peer

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"laburnumrouter/internal/process/logging"
	"laburnumrouter/internal/process/settings"
	laburnumv1 "laburnumrouter/proto/laburnum/v1"
	"laburnumrouter/test/certtest"
)

// Guards against a connection over TLS that isn't watched, so that its silence is never noticed.
func TestSilenceIsSeenOverTLS(t *testing.T) {
	ours := certtest.NewAuthority(t, t.TempDir(), "ours")
	source, _ := newIdentity(t, ours, "server", ours.File, time.Now().Add(time.Hour), logging.Discard())
	dialer := NewSecureDialer(source).Watched(time.Minute)
	silent, written := dialer.Silence()
	must.EqOp(t, 0, silent)
	must.EqOp(t, 0, written)
	p := dialer.Peer(settings.Peer{Address: serveTLS(t, source, logging.Discard())})
	_, err := p.Report.Report(t.Context(), &laburnumv1.ReportRequest{})
	must.NoError(t, err)
	must.Wait(t, waitFor(func() bool { silent, _ := dialer.Silence(); return silent > 50*time.Millisecond }))
}
