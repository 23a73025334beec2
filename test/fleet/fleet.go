// Package fleet starts and stops the built programs as processes on loopback, for tests, the quick start and
// measurements.
package fleet

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/zeebo/errs"
)

const (
	stopTimeout  = 20 * time.Second
	readyTimeout = time.Second
)

// Limits bounds a process. A field that is 0 leaves the default in force.
type Limits struct {
	MemoryMB    int64 // memory_mb in the settings
	Descriptors int   // of the kernel
}

// Node is one process with its two listeners; it can be killed and started again on the same addresses.
type Node struct {
	Name, Program, DataCentre string
	Public, Peer              string // listen addresses
	Limits                    Limits // set before the first start

	ports     [2]*port
	listeners [2]*net.TCPListener // for the first start
	cmd       *exec.Cmd           // nil while the process does not run
	done      chan error
}

// NewNode reserves two ports that the kernel chooses and listens on them; the process inherits the listeners.
func NewNode(program, name, dataCentre string) (*Node, error) {
	n := &Node{Name: name, Program: program, DataCentre: dataCentre, done: make(chan error, 1)}
	for i := range n.listeners {
		p, err := reservePort()
		if err != nil {
			return nil, err
		}
		n.ports[i] = p
		if n.listeners[i], err = p.listen(); err != nil {
			return nil, err
		}
	}
	n.Public = n.listeners[0].Addr().String()
	n.Peer = n.listeners[1].Addr().String()
	return n, nil
}

// Settings returns the settings that all programs have in common, in TOML.
func (n *Node) Settings() string {
	common := fmt.Sprintf("name = %q\ndata_centre = %q\nlisten = %q\npeer_listen = %q\n", n.Name, n.DataCentre, n.Public, n.Peer)
	if n.Limits.MemoryMB > 0 {
		common += fmt.Sprintf("memory_mb = %d\n", n.Limits.MemoryMB)
	}
	return common
}

// PeerSettings returns the nodes of a list except n as a TOML array of tables.
func (n *Node) PeerSettings(table string, list []*Node) string {
	var b strings.Builder
	for _, p := range list {
		if p != n {
			fmt.Fprintf(&b, "[[%s]]\nname = %q\ndata_centre = %q\naddress = %q\n", table, p.Name, p.DataCentre, p.Peer)
		}
	}
	return b.String()
}

// Launch writes the settings to dir, starts the process with them and its listeners, and closes the copies of the
// listeners in this process.
func (n *Node) Launch(dir, bin, settings string) error {
	if err := os.WriteFile(filepath.Join(dir, n.Name+".toml"), []byte(settings), 0o600); err != nil {
		return err
	}
	var files []*os.File
	for _, l := range n.listeners {
		file, err := l.File()
		if err != nil {
			return err
		}
		defer file.Close()
		defer l.Close()
		files = append(files, file)
	}
	return n.start(dir, bin, files)
}

// Relaunch restarts a process that has ended. It inherits no listeners but listens on the addresses in its settings.
func (n *Node) Relaunch(dir, bin string) error { return n.start(dir, bin, nil) }

func (n *Node) start(dir, bin string, listeners []*os.File) error {
	log, err := os.OpenFile(filepath.Join(dir, n.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	command := []string{filepath.Join(bin, n.Program), "--settings", filepath.Join(dir, n.Name+".toml")}
	if n.Limits.Descriptors > 0 {
		script := fmt.Sprintf(`ulimit -n %d && exec "$0" "$@"`, n.Limits.Descriptors)
		command = append([]string{"sh", "-c", script}, command...)
	}
	cmd := exec.Command(command[0], command[1:]...)
	cmd.Stdout, cmd.Stderr = log, log
	if len(listeners) > 0 {
		cmd.Env = append(os.Environ(), fmt.Sprintf("LISTEN_FDS=%d", len(listeners)))
		cmd.ExtraFiles = listeners
	}
	if err := cmd.Start(); err != nil {
		return err
	}
	n.cmd = cmd
	go func() { n.done <- cmd.Wait() }()
	return nil
}

// Kill ends the process at once with SIGKILL, as in a crash; that works on a frozen process too. If the process does not
// run, Kill does nothing.
func (n *Node) Kill() error {
	if n.cmd == nil {
		return nil
	}
	if err := n.cmd.Process.Kill(); err != nil {
		return err
	}
	<-n.done
	n.cmd = nil
	return nil
}

// Freeze suspends the process with SIGSTOP until Thaw is called.
func (n *Node) Freeze() error { return n.cmd.Process.Signal(syscall.SIGSTOP) }

// Thaw resumes a frozen process.
func (n *Node) Thaw() error { return n.cmd.Process.Signal(syscall.SIGCONT) }

// PID returns the id of the running process.
func (n *Node) PID() int { return n.cmd.Process.Pid }

// Stop ends the process gracefully with SIGTERM and returns the error that it exited with; after stopTimeout it kills
// the process. If the process does not run, Stop does nothing.
func (n *Node) Stop() error {
	if n.cmd == nil {
		return nil
	}
	if err := n.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	select {
	case err := <-n.done:
		n.cmd = nil
		return err
	case <-time.After(stopTimeout):
		return errs.Combine(errs.New("did not stop within %s", stopTimeout), n.Kill())
	}
}

// Release kills the process and releases its ports.
func (n *Node) Release() error {
	err := n.Kill()
	for _, p := range n.ports {
		p.close()
	}
	return err
}

// Ready reports whether the process answers /readyz with 200.
func (n *Node) Ready() bool {
	client := &http.Client{Timeout: readyTimeout}
	resp, err := client.Get("http://" + n.Public + "/readyz")
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}
