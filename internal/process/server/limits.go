package server

import (
	"bufio"
	"bytes"
	"os"
	"runtime/debug"
	"strconv"
	"syscall"
	"time"

	"laburnumrouter/internal/process/settings"
)

const (
	// connCost is the memory that an open connection is counted with, for its goroutine and buffers, and requestCost what is added
	// while it has a request, also for unread bytes in its receive buffer.
	connCost    = 16 << 10
	requestCost = 16 << 10
	// streamCost is the memory that a stream of an HTTP/2 connection is counted with.
	streamCost = 16 << 10
	// receiveBuffer is the size of the socket buffer for bytes that have arrived on a client's connection and aren't read. The
	// kernel would let it grow to megabytes.
	receiveBuffer = 32 << 10
	// acceptBuffer is its size until a body is received.
	acceptBuffer = 4 << 10
	// headerCost is the memory for each byte of a header, which is read into growing buffers and kept decoded.
	headerCost = 4
	// heapFraction is the fraction of the memory that the Go runtime gets as its soft limit. The rest is left for memory outside the Go
	// runtime, such as socket buffers with unread data.
	heapFraction = 0.6
	// intakeFraction is the part of the memory that the connections of clients may take up.
	intakeFraction = 3
	// fileReserve is the number of descriptors that are kept for files.
	fileReserve = 200
	// receiveRate is the least rate, in bytes per second, at which a large body must arrive: a quarter of a link with 2 Mbit/s.
	receiveRate = 64 << 10
	// machineFraction is the part of the machine's memory that a process without a memory limit is taken to have, up to
	// maxDefaultMemory: several such processes may share the machine.
	machineFraction  = 4
	maxDefaultMemory = 1 << 30
	// leastConns is the number of connections that are accepted however low the limits are.
	leastConns = 16
)

// Limits bounds what clients of a process may hold at the same time, over all its listeners.
type Limits struct {
	// Bytes is the memory for connections, headers and bodies.
	Bytes int64
	// Conns is the number of connections, including those of the system's own processes.
	Conns int
	// BodyCost is the memory for each byte of a body while it is received and decoded.
	BodyCost int64
	// ReceiveTimeout is the time in which a request must be received. Large bodies get more, at 64 KiB a second.
	ReceiveTimeout time.Duration
}

// LimitsFor returns the limits of a process with settings n. bodyCost is the memory for each byte of a body, in bytes. One part in
// outgoing of the descriptors is kept for connections that the process opens itself.
func LimitsFor(n *settings.Node, bodyCost int64, outgoing int) Limits {
	memory, files := n.MemoryMB<<20, n.MaxFDs
	if memory <= 0 {
		meminfo, _ := os.ReadFile("/proc/meminfo") // without it, defaultMemory returns its bound
		memory = defaultMemory(meminfo)
	}
	if files <= 0 {
		files = openFileLimit()
	}
	conns := files - min(fileReserve, files/4) - files/outgoing
	return Limits{
		Bytes: memory / intakeFraction, Conns: max(leastConns, conns), BodyCost: bodyCost, ReceiveTimeout: n.ReceiveTimeout.Std(),
	}
}

// LimitHeap makes the Go runtime keep the heap of a process with settings n below its memory, if it has a limit.
func LimitHeap(n *settings.Node) {
	if n.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(float64(n.MemoryMB<<20) * heapFraction))
	}
}

// defaultMemory returns the memory of a process that was given no limit, from the content of /proc/meminfo.
func defaultMemory(meminfo []byte) int64 {
	if total := memTotal(meminfo); total > 0 {
		return min(total/machineFraction, maxDefaultMemory)
	}
	return maxDefaultMemory
}

// memTotal returns the machine's memory, in bytes, from the content of /proc/meminfo; 0 if that can't be read.
func memTotal(meminfo []byte) int64 {
	lines := bufio.NewScanner(bytes.NewReader(meminfo))
	for lines.Scan() {
		fields := bytes.Fields(lines.Bytes())
		if len(fields) >= 2 && string(fields[0]) == "MemTotal:" {
			kib, err := strconv.ParseInt(string(fields[1]), 10, 64)
			if err != nil {
				return 0
			}
			return kib << 10
		}
	}
	return 0
}

// openFileLimit returns the number of descriptors that the process may open.
func openFileLimit() int {
	const unknown, most = 1024, 1 << 20
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return unknown
	}
	return int(min(uint64(limit.Cur), most))
}
