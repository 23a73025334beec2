package settings

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/hashicorp/go-hclog"
	"github.com/shoenig/test/must"
)

type example struct {
	Node
	Key   Secret `toml:"key_file"`
	Peers []Peer `toml:"peer"`
}

func (e *example) Check(f *Faults) {
	e.Node.Check(f)
	e.Key.Load(f, "key_file")
	CheckPeers(f, "peer", e.Peers)
}

const valid = `name = "entry-1"
data_centre = "dc1"
listen = "127.0.0.1:8080"
peer_listen = "[::1]:8081"
`

func TestDecodeReportsEveryFaultWithItsLine(t *testing.T) {
	const text = `name = "Entry 1"
data_centre = "dc1"
listen = "localhost:8080"
peer_listen = "10.0.0.1"
colour = "blue"

[log]
level = "loud"

[[peer]]
name = "a"
data_centre = "dc1"
address = "10.0.0.2:1"

[[peer]]
name = "a"
data_centre = "dc1"
address = "router.example:1"

[[peer]]
name = "c"
address = "10.0.0.3:1"

[tls]
cert = "/nowhere/cert.pem"
`
	err := Decode("entry.toml", []byte(text), &example{Node: DefaultNode()})
	must.Error(t, err)
	want := []string{
		`entry.toml:1: name: "Entry 1" is not a name`,
		`entry.toml:3: listen: "localhost:8080" is not an IP address with a port; host names are not allowed`,
		`entry.toml:4: peer_listen: "10.0.0.1" is not an IP address with a port`,
		`entry.toml:5: colour: unknown key`,
		`entry.toml:8: log.level: "loud" is not`,
		`entry.toml:16: peer[1].name: peer "a" is listed twice`,
		`entry.toml:18: peer[1].address: "router.example:1" is not an IP address`,
		`entry.toml:20: peer[2].data_centre: "" is not a name`,
		`entry.toml:25: tls.cert: cert and key must be set together`,
		`entry.toml:24: tls.peer_ca: is needed`,
		`entry.toml:25: tls.cert: open /nowhere/cert.pem`,
	}
	for _, w := range want {
		must.StrContains(t, err.Error(), w)
	}
	must.StrContains(t, err.Error(), fmt.Sprintf("%d fault(s)", len(want)))
}

func TestDecodeValid(t *testing.T) {
	must.NoError(t, Decode("entry.toml", []byte(valid), &example{Node: DefaultNode()}))
}

// TestSecretIsNeverRendered logs and formats settings in the ways that logs and errors use, and checks that only the
// path of the secret appears.
func TestSecretIsNeverRendered(t *testing.T) {
	const secret = "s3cret-of-the-backend"
	path := filepath.Join(t.TempDir(), "backend.key")
	must.NoError(t, os.WriteFile(path, []byte(secret+"\n"), 0o600))
	s := &example{Node: DefaultNode()}
	must.NoError(t, Decode("x.toml", []byte(valid+fmt.Sprintf("key_file = %q\n", path)), s))
	must.Eq(t, secret, s.Key.Reveal())

	var out bytes.Buffer
	for _, json := range []bool{false, true} {
		log := hclog.New(&hclog.LoggerOptions{Output: &out, JSONFormat: json})
		log.Info("settings", "all", s, "secret", s.Key, "pointer", &s.Key)
	}
	fmt.Fprintf(&out, "%v %+v %#v %s %q %v", s, s, s, s.Key, s.Key, &s.Key)
	must.StrNotContains(t, out.String(), secret)
	must.True(t, strings.Contains(out.String(), path))
}

func TestSecretFaults(t *testing.T) {
	empty := filepath.Join(t.TempDir(), "empty")
	must.NoError(t, os.WriteFile(empty, nil, 0o600))
	for _, path := range []string{empty, empty + "-missing"} {
		err := Decode("x.toml", []byte(valid+fmt.Sprintf("key_file = %q\n", path)), &example{Node: DefaultNode()})
		must.ErrorContains(t, err, "x.toml:5: key_file: ")
	}
}
