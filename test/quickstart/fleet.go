package main

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"os"
	"path/filepath"

	"laburnumrouter/test/fleet"
)

const (
	backendKey = "quickstart-backend-key"
	keyFile    = "backend.key"
)

// quickFleet is the set of processes that the quick start runs.
type quickFleet struct {
	dir, bin string
	controls []*fleet.Node
	entries  []*fleet.Node
	standins []*fleet.Node
}

func newFleet(dir, bin string) *quickFleet { return &quickFleet{dir: dir, bin: bin} }

// add adds one process to a list and reserves its ports.
func (f *quickFleet) add(list *[]*fleet.Node, program, name, dataCentre string) error {
	n, err := fleet.NewNode(program, name, dataCentre)
	if err != nil {
		return err
	}
	*list = append(*list, n)
	return nil
}

// addNodes adds the processes of two data centres and reserves their ports.
func (f *quickFleet) addNodes() error {
	for i, dc := range []string{"dc1", "dc2", "dc2"} {
		if err := f.add(&f.controls, "laburnum-control", fmt.Sprintf("control-%d", i+1), dc); err != nil {
			return err
		}
	}
	for i, dc := range []string{"dc1", "dc1", "dc2", "dc2"} {
		if err := f.add(&f.entries, "laburnum-entry", fmt.Sprintf("entry-%d", i+1), dc); err != nil {
			return err
		}
	}
	for _, dc := range []string{"dc1", "dc2"} {
		if err := f.add(&f.standins, "laburnum-standin", "standin-"+dc, dc); err != nil {
			return err
		}
	}
	return nil
}

func (f *quickFleet) start() error {
	if err := os.WriteFile(filepath.Join(f.dir, keyFile), []byte(backendKey+"\n"), 0o600); err != nil {
		return err
	}
	for _, n := range f.controls {
		if err := n.Launch(f.dir, f.bin, f.controlSettings(n)); err != nil {
			return err
		}
	}
	for _, n := range f.entries {
		if err := n.Launch(f.dir, f.bin, f.entrySettings(n)); err != nil {
			return err
		}
	}
	for _, n := range f.standins {
		if err := n.Launch(f.dir, f.bin, f.standinSettings(n)); err != nil {
			return err
		}
	}
	return nil
}

func (f *quickFleet) controlSettings(n *fleet.Node) string {
	s := n.Settings() + fmt.Sprintf("data_dir = %q\n", filepath.Join(f.dir, n.Name)) + n.PeerSettings("control", f.controls)
	for _, p := range f.standins {
		s += fmt.Sprintf("[[platform]]\ndata_centre = %q\naddress = %q\nkey_file = %q\n", p.DataCentre, p.Public, filepath.Join(f.dir, keyFile))
	}
	return s + "[wave]\nhealthy_for = \"1s\"\n"
}

func (f *quickFleet) entrySettings(n *fleet.Node) string {
	sum := sha256.Sum256([]byte(backendKey))
	return n.Settings() + fmt.Sprintf("backend_key_sha256 = %q\n", hex.EncodeToString(sum[:])) +
		n.PeerSettings("control", f.controls) + n.PeerSettings("entry", f.entries)
}

func (f *quickFleet) standinSettings(n *fleet.Node) string {
	s := n.Settings() + fmt.Sprintf("backend_key_file = %q\nentries = [", filepath.Join(f.dir, keyFile))
	for _, e := range f.entries {
		if e.DataCentre == n.DataCentre {
			s += fmt.Sprintf("%q, ", e.Public)
		}
	}
	s += "]\n"
	for i := 1; i <= serversPerStandin; i++ {
		s += fmt.Sprintf("[[server]]\nname = \"%s-i%d\"\nrack = \"%s-r%d\"\nslots = 8\nmilli_cpu = 4000\nmemory_bytes = 8589934592\nservices = [\"drum-log\", \"rinse-check\", \"pickup\", \"refund\"]\n",
			n.DataCentre, i, n.DataCentre, (i+1)/2)
	}
	return s
}

// stop ends all processes gracefully, the stand-ins last, so that no request in progress loses its server.
func (f *quickFleet) stop() error {
	var firstErr error
	for _, list := range [][]*fleet.Node{f.entries, f.controls, f.standins} {
		for _, n := range list {
			if err := n.Stop(); err != nil && firstErr == nil {
				firstErr = fmt.Errorf("%s: %w", n.Name, err)
			}
		}
	}
	return firstErr
}
