// Package secure tests the programs as real processes with TLS and operators' keys.
package secure

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"

	"laburnumrouter/test/certtest"
	"laburnumrouter/test/fleet"
	"laburnumrouter/test/harness"
)

const (
	operatorKey  = "secret-of-ana"
	exitDenied   = 7 // exit code of laburnumctl for an operator who is not authenticated
	readyTimeout = 20 * time.Second
)

// tlsFleet is one control and one entry instance whose listeners and connections all use TLS.
type tlsFleet struct {
	dir, bin       string
	ca, operators  *certtest.Authority
	control, entry *fleet.Node
}

func digest(secret string) string {
	sum := sha256.Sum256([]byte(secret))
	return hex.EncodeToString(sum[:])
}

func startFleet(t *testing.T) *tlsFleet {
	dir := t.TempDir()
	s := &tlsFleet{dir: dir, bin: filepath.Join(dir, "bin")}
	must.NoError(t, harness.Build(s.bin))
	s.ca = certtest.NewAuthority(t, dir, "peers")
	s.operators = certtest.NewAuthority(t, dir, "operators")
	var err error
	s.control, err = fleet.NewNode("laburnum-control", "control-1", "dc1")
	must.NoError(t, err)
	s.entry, err = fleet.NewNode("laburnum-entry", "entry-1", "dc1")
	must.NoError(t, err)

	control := s.control.Settings() + fmt.Sprintf("data_dir = %q\n", filepath.Join(dir, "data")) + s.tls(t, s.control) +
		fmt.Sprintf("operator_ca = %q\n[[operator]]\nname = \"ana\"\nkey_sha256 = %q\n", s.operators.File, digest(operatorKey))
	entry := s.entry.Settings() + fmt.Sprintf("backend_key_sha256 = %q\n", digest("backend")) + s.tls(t, s.entry) +
		s.entry.PeerSettings("control", []*fleet.Node{s.control})
	must.NoError(t, s.control.Launch(dir, s.bin, control))
	t.Cleanup(func() { must.NoError(t, s.control.Stop()) })
	must.NoError(t, s.entry.Launch(dir, s.bin, entry))
	t.Cleanup(func() { must.NoError(t, s.entry.Stop()) })
	return s
}

func (s *tlsFleet) tls(t *testing.T, n *fleet.Node) string {
	cert, key := s.ca.Issue(t, s.dir, n.Name, time.Now().Add(time.Hour))
	return fmt.Sprintf("[tls]\ncert = %q\nkey = %q\npeer_ca = %q\n", cert, key, s.ca.File)
}

// ctl runs laburnumctl with an operator's key and returns its output and exit code. The name in --by must have no
// effect, since the key says who the operator is.
func (s *tlsFleet) ctl(t *testing.T, key string, args ...string) (string, int) {
	file := filepath.Join(s.dir, "operator.key")
	must.NoError(t, os.WriteFile(file, []byte(key+"\n"), 0o600))
	args = append([]string{"--control", s.control.Public, "--ca", s.ca.File, "--key-file", file, "--by", "mallory"}, args...)
	out, err := exec.Command(filepath.Join(s.bin, "laburnumctl"), args...).CombinedOutput()
	var exit *exec.ExitError
	if errors.As(err, &exit) {
		return string(out), exit.ExitCode()
	}
	must.NoError(t, err)
	return string(out), 0
}

func TestOperatorsAndPeersAuthenticateOverTLS(t *testing.T) {
	s := startFleet(t)
	sheet := "../../examples/drenq.csv"
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool {
		_, code := s.ctl(t, operatorKey, "status")
		return code == 0
	}), wait.Timeout(readyTimeout), wait.Gap(100*time.Millisecond)))

	out, code := s.ctl(t, "another-key", "apply", sheet)
	must.Eq(t, exitDenied, code, must.Sprint(out))
	// A sheet is in force once the entry instance has fetched it and reported that, both over mutual TLS.
	out, code = s.ctl(t, operatorKey, "--timeout", "20s", "apply", sheet, "--wait", "in-force")
	must.Eq(t, 0, code, must.Sprint(out))
	must.StrContains(t, out, "by ana")
	out, code = s.ctl(t, operatorKey, "explain", "sheet/1")
	must.Eq(t, 0, code)
	must.StrContains(t, out, "ana")
	must.StrNotContains(t, out, "mallory")

	exported := filepath.Join(s.dir, "exported.csv")
	_, code = s.ctl(t, operatorKey, "export", "--file", exported)
	must.Eq(t, 0, code)
	out, code = s.ctl(t, operatorKey, "diff", exported)
	must.Eq(t, 0, code)
	must.StrContains(t, out, "0 rows differ")
	out, code = s.ctl(t, operatorKey, "apply", exported)
	must.Eq(t, 0, code, must.Sprint(out))

	for _, name := range []string{"control-1.log", "entry-1.log"} {
		log, err := os.ReadFile(filepath.Join(s.dir, name))
		must.NoError(t, err)
		must.False(t, bytes.Contains(log, []byte(operatorKey)))
	}
}
