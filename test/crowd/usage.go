package crowd

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"
)

const sampleInterval = 50 * time.Millisecond

// Usage is what a process uses, or the most that it has used.
type Usage struct {
	ResidentKB  int64 // includes the peak that the kernel records
	UnreadKB    int64 // in the receive buffers of the listener's connections
	TotalKB     int64 // resident and unread at one moment
	Descriptors int
}

func (u Usage) String() string {
	return fmt.Sprintf("%d MB resident, %d MB unread, %d MB together, %d descriptors", u.ResidentKB>>10, u.UnreadKB>>10, u.TotalKB>>10, u.Descriptors)
}

// sample reads what a process uses. Unread bytes are those of the connections to the listeners at the addresses.
func sample(pid int, listeners []string) (Usage, error) {
	folder := filepath.Join("/proc", strconv.Itoa(pid))
	status, err := os.ReadFile(filepath.Join(folder, "status"))
	if err != nil {
		return Usage{}, err
	}
	descriptors, err := os.ReadDir(filepath.Join(folder, "fd"))
	if err != nil {
		return Usage{}, err
	}
	unread, err := unreadBytes(listeners)
	if err != nil {
		return Usage{}, err
	}
	resident := field(status, "VmRSS:")
	u := Usage{ResidentKB: max(resident, field(status, "VmHWM:")), UnreadKB: unread >> 10, Descriptors: len(descriptors)}
	u.TotalKB = resident + u.UnreadKB
	return u, nil
}

// field returns a value of /proc/PID/status in KiB, and 0 for a process that has ended.
func field(status []byte, name string) int64 {
	_, rest, _ := bytes.Cut(status, []byte("\n"+name))
	words := strings.Fields(string(rest[:min(len(rest), 64)]))
	if len(words) == 0 {
		return 0
	}
	n, _ := strconv.ParseInt(words[0], 10, 64)
	return n
}

// unreadBytes sums the receive queues of the connections to IPv4 listeners, accepted or not.
func unreadBytes(listeners []string) (int64, error) {
	const listening = "0A"
	table, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return 0, err
	}
	wanted := make(map[string]bool)
	for _, l := range listeners {
		wanted[kernelAddress(l)] = true
	}
	var sum int64
	for line := range strings.Lines(string(table)) {
		words := strings.Fields(line) // number, local, remote, state, queues
		if len(words) < 5 || !wanted[words[1]] || words[3] == listening {
			continue
		}
		_, queue, _ := strings.Cut(words[4], ":")
		n, err := strconv.ParseInt(queue, 16, 64)
		if err != nil {
			return 0, err
		}
		sum += n
	}
	return sum, nil
}

// kernelAddress returns an IPv4 address and port as /proc/net/tcp writes it.
func kernelAddress(address string) string {
	a := netip.MustParseAddrPort(address)
	ip := a.Addr().As4()
	return fmt.Sprintf("%08X:%04X", binary.NativeEndian.Uint32(ip[:]), a.Port())
}

// Watch samples a process until stop is called, which returns the most that it has used of each and whether it still runs.
func Watch(pid int, listeners []string) (stop func() (most Usage, err error)) {
	var most Usage
	var failed error
	done := make(chan struct{})
	var wg sync.WaitGroup
	wg.Go(func() {
		for {
			u, err := sample(pid, listeners)
			if err != nil || u.ResidentKB == 0 {
				failed = fmt.Errorf("the process has ended: %v", err)
				return
			}
			most = Usage{
				ResidentKB: max(most.ResidentKB, u.ResidentKB), UnreadKB: max(most.UnreadKB, u.UnreadKB),
				TotalKB: max(most.TotalKB, u.TotalKB, u.ResidentKB), Descriptors: max(most.Descriptors, u.Descriptors),
			}
			select {
			case <-done:
				return
			case <-time.After(sampleInterval):
			}
		}
	})
	return func() (Usage, error) {
		close(done)
		wg.Wait()
		return most, failed
	}
}
