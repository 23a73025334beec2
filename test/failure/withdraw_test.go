package failure

import (
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"laburnumrouter/test/harness"
)

// TestKeyIsWithdrawnWithoutControlInstances withdraws a key through one entry while all control instances are down. All
// entries of both data centres must refuse the key, and the withdrawal must reach the control log after the restart.
func TestKeyIsWithdrawnWithoutControlInstances(t *testing.T) {
	t.Parallel()
	f := startFleet(t, twoDataCentres)
	for _, c := range f.Controls {
		must.NoError(t, c.Kill())
	}
	keyFile := filepath.Join(f.Dir, "operator.key")
	must.NoError(t, os.WriteFile(keyFile, []byte(harness.OperatorKey), 0o600))
	at := []string{f.Entries[3].Public}
	_, err := f.CtlAt(at, "key", "withdraw", digest("soap"))
	must.Error(t, err) // the command carries no operator key
	_, err = f.CtlAt(at, "--key-file", keyFile, "key", "withdraw", digest("soap"))
	must.NoError(t, err)
	for _, e := range f.Entries {
		eventually(t, "the key is refused at "+e.Name, func() bool {
			return send(e, request{workspace: "soap"}).status == http.StatusUnauthorized
		})
	}
	for _, c := range f.Controls {
		must.NoError(t, c.Start())
	}
	eventually(t, "the control log holds the withdrawal", func() bool {
		out, err := f.Ctl("explain", "key/"+digest("soap")[:12])
		return err == nil && strings.Contains(out, "withdrawn")
	})
}
