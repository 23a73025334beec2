package control

import (
	"testing"

	"github.com/shoenig/test/must"

	"laburnumrouter/internal/process/settings"
)

// TestPeerListenMustBeReachable checks that an unspecified peer address is refused: the other instances learn this
// address from the control log and could not connect to it.
func TestPeerListenMustBeReachable(t *testing.T) {
	const text = "name = \"control-1\"\ndata_centre = \"dc1\"\nlisten = \"0.0.0.0:1\"\npeer_listen = \"0.0.0.0:2\"\ndata_dir = \"d\"\n"
	err := settings.Decode("control.toml", []byte(text), DefaultSettings())
	must.ErrorContains(t, err, "control.toml:4: peer_listen")
}
