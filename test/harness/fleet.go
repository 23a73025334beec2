// Package harness runs small fleets of real processes on loopback for failure tests, which can kill, freeze and
// restart processes and cut data centres off from each other.
package harness

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"

	"laburnumrouter/test/fleet"
)

const (
	// BackendKey is the key with which the stand-in backend servers authenticate to entry instances.
	BackendKey = "harness-backend-key"
	// OperatorKey is the key of an operator that is listed in the settings of the entry instances.
	OperatorKey = "harness-operator-key"
)

// Shape says how many instances and servers a fleet has, and in which data centres.
type Shape struct {
	// Controls lists the data centre of each control instance.
	Controls []string
	// Entries lists the data centre of each entry instance.
	Entries []string
	// Servers is the number of stand-in backend servers in each data centre.
	Servers int
	// Services lists the services that each stand-in backend server offers.
	Services []string
}

// Fleet is a set of processes on loopback.
type Fleet struct {
	Dir      string
	Controls []*Node
	Entries  []*Node
	Standins []*Node // one for each data centre

	bin   string
	shape Shape
	links map[linkID]*link
}

// linkID identifies the link from a data centre to a process of another one.
type linkID struct {
	from string
	to   string
}

// Build builds all programs below cmd into the folder bin.
func Build(bin string) error {
	cmd := exec.Command("go", "build", "-o", bin+string(filepath.Separator), "laburnumrouter/cmd/...")
	out, err := cmd.CombinedOutput()
	if err != nil {
		return fmt.Errorf("build: %w: %s", err, out)
	}
	return nil
}

// New reserves the addresses of a fleet whose programs are in bin and whose files go to dir.
func New(dir, bin string, shape Shape) (*Fleet, error) {
	f := &Fleet{Dir: dir, bin: bin, shape: shape, links: make(map[linkID]*link)}
	for i, dc := range shape.Controls {
		if err := f.add(&f.Controls, "laburnum-control", fmt.Sprintf("control-%d", i+1), dc, f.controlSettings); err != nil {
			return nil, err
		}
	}
	for i, dc := range shape.Entries {
		if err := f.add(&f.Entries, "laburnum-entry", fmt.Sprintf("entry-%d", i+1), dc, f.entrySettings); err != nil {
			return nil, err
		}
	}
	for _, dc := range f.DataCentres() {
		if err := f.add(&f.Standins, "laburnum-standin", "standin-"+dc, dc, f.standinSettings); err != nil {
			return nil, err
		}
	}
	if err := os.WriteFile(f.keyFile(), []byte(BackendKey), 0o600); err != nil {
		return nil, err
	}
	return f, f.addLinks()
}

func (f *Fleet) add(list *[]*Node, program, name, dataCentre string, settings func(*Node) string) error {
	n, err := fleet.NewNode(program, name, dataCentre)
	if err != nil {
		return err
	}
	*list = append(*list, &Node{Node: n, fleet: f, settings: settings})
	return nil
}

func (f *Fleet) keyFile() string { return filepath.Join(f.Dir, "backend.key") }

// DataCentres returns the names of the data centres that have entry instances.
func (f *Fleet) DataCentres() []string {
	var names []string
	for _, dc := range f.shape.Entries {
		if len(names) == 0 || names[len(names)-1] != dc {
			names = append(names, dc)
		}
	}
	return names
}

func (f *Fleet) nodes() []*Node {
	return append(append(append([]*Node(nil), f.Controls...), f.Entries...), f.Standins...)
}

// addLinks creates a link from each data centre to each control and entry instance of the other ones.
func (f *Fleet) addLinks() error {
	for _, n := range append(append([]*Node(nil), f.Controls...), f.Entries...) {
		for _, dc := range f.DataCentres() {
			if dc == n.DataCentre {
				continue
			}
			l, err := newLink(n.Peer)
			if err != nil {
				return err
			}
			f.links[linkID{from: dc, to: n.Name}] = l
		}
	}
	return nil
}

// peerAddress returns the address that processes of the data centre from use to reach a process: that of the
// link if the process is in another data centre.
func (f *Fleet) peerAddress(from string, to *Node) string {
	if l := f.links[linkID{from, to.Name}]; l != nil {
		return l.address()
	}
	return to.Peer
}

// Cut blocks all links between a data centre and the others, in both directions.
func (f *Fleet) Cut(dataCentre string) { f.setLinks(dataCentre, linkBlocked) }

// CutOutgoing blocks the links by which a data centre reaches the others; the others can still reach it.
func (f *Fleet) CutOutgoing(dataCentre string) {
	for id, l := range f.links {
		if id.from == dataCentre {
			l.set(linkBlocked)
		}
	}
}

// Heal reopens all links between a data centre and the others.
func (f *Fleet) Heal(dataCentre string) { f.setLinks(dataCentre, linkOpen) }

// BlackholeConnections stops all traffic on the open connections between data centres without closing them; new
// connections work. It simulates a NAT or firewall that has lost its connection state.
func (f *Fleet) BlackholeConnections() {
	for _, l := range f.links {
		l.blackhole()
	}
}

func (f *Fleet) setLinks(dataCentre string, mode linkMode) {
	dataCentreOf := make(map[string]string)
	for _, n := range f.nodes() {
		dataCentreOf[n.Name] = n.DataCentre
	}
	for id, l := range f.links {
		if id.from == dataCentre || dataCentreOf[id.to] == dataCentre {
			l.set(mode)
		}
	}
}

// Start starts all processes.
func (f *Fleet) Start() error {
	for _, n := range f.nodes() {
		if err := n.Start(); err != nil {
			return fmt.Errorf("%s: %w", n.Name, err)
		}
	}
	return nil
}

// Close kills the processes that still run, releases their ports and closes the links.
func (f *Fleet) Close() {
	for _, n := range f.nodes() {
		_ = n.Release()
	}
	for _, l := range f.links {
		l.close()
	}
}

// In returns the processes of a list that are in a data centre.
func In(dataCentre string, list []*Node) []*Node {
	var found []*Node
	for _, n := range list {
		if n.DataCentre == dataCentre {
			found = append(found, n)
		}
	}
	return found
}

// Ctl runs laburnumctl against all control instances and returns its output.
func (f *Fleet) Ctl(args ...string) (string, error) {
	var addresses []string
	for _, c := range f.Controls {
		addresses = append(addresses, c.Public)
	}
	return f.CtlAt(addresses, args...)
}

// CtlAt runs laburnumctl against the given addresses and returns its output.
func (f *Fleet) CtlAt(addresses []string, args ...string) (string, error) {
	args = append([]string{"--control", strings.Join(addresses, ","), "--by", "harness"}, args...)
	out, err := exec.Command(filepath.Join(f.bin, "laburnumctl"), args...).CombinedOutput()
	if err != nil {
		return string(out), fmt.Errorf("laburnumctl %v: %w: %s", args, err, out)
	}
	return string(out), nil
}

func (f *Fleet) peerSettings(table string, self *Node, list []*Node) string {
	var b strings.Builder
	for _, p := range list {
		if p != self {
			fmt.Fprintf(&b, "[[%s]]\nname = %q\ndata_centre = %q\naddress = %q\n", table, p.Name, p.DataCentre, f.peerAddress(self.DataCentre, p))
		}
	}
	return b.String()
}

func (f *Fleet) controlSettings(n *Node) string {
	return n.Settings() + fmt.Sprintf("data_dir = %q\n", filepath.Join(f.Dir, n.Name)) + f.peerSettings("control", n, f.Controls)
}

func (f *Fleet) entrySettings(n *Node) string {
	sum := sha256.Sum256([]byte(BackendKey))
	s := n.Settings() + fmt.Sprintf("backend_key_sha256 = %q\n", hex.EncodeToString(sum[:]))
	operator := sha256.Sum256([]byte(OperatorKey))
	s += f.peerSettings("control", n, f.Controls) + f.peerSettings("entry", n, f.Entries)
	return s + fmt.Sprintf("[[operator]]\nname = \"harness\"\nkey_sha256 = %q\n", hex.EncodeToString(operator[:]))
}

func (f *Fleet) standinSettings(n *Node) string {
	var entries []string
	for _, e := range In(n.DataCentre, f.Entries) {
		entries = append(entries, fmt.Sprintf("%q", e.Public))
	}
	var services []string
	for _, s := range f.shape.Services {
		services = append(services, fmt.Sprintf("%q", s))
	}
	var b strings.Builder
	b.WriteString(n.Settings())
	fmt.Fprintf(&b, "backend_key_file = %q\nentries = [%s]\n", f.keyFile(), strings.Join(entries, ", "))
	for i := 1; i <= f.shape.Servers; i++ {
		fmt.Fprintf(&b, "[[server]]\nname = \"%s-i%d\"\nrack = \"%s-r%d\"\nslots = 8\nservices = [%s]\n",
			n.DataCentre, i, n.DataCentre, (i+1)/2, strings.Join(services, ", "))
	}
	return b.String()
}

// DumpLogs returns the end of every process's log, for the report of a failed test.
func (f *Fleet) DumpLogs() string {
	const tail = 3000
	var b strings.Builder
	for _, n := range f.nodes() {
		data, err := os.ReadFile(n.LogFile())
		if err != nil {
			continue
		}
		fmt.Fprintf(&b, "--- %s\n%s\n", n.Name, data[max(0, len(data)-tail):])
	}
	return b.String()
}
