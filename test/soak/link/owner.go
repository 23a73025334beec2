package link

import (
	"encoding/binary"
	"fmt"
	"net"
	"os"
	"path/filepath"

	"golang.org/x/sys/unix"
)

// Owner returns the index in pids of the process that has made a connection which this process accepted, or -1. It asks
// the kernel, since all processes of a soak connect from the same loopback address.
func Owner(conn net.Conn, pids []int) int {
	inode, err := socketInode(conn.RemoteAddr().(*net.TCPAddr), conn.LocalAddr().(*net.TCPAddr))
	if err != nil {
		return -1
	}
	want := fmt.Sprintf("socket:[%d]", inode)
	for i, pid := range pids {
		if holds(pid, want) {
			return i
		}
	}
	return -1
}

// holds reports whether a process has a descriptor of a socket.
func holds(pid int, socket string) bool {
	folder := fmt.Sprintf("/proc/%d/fd", pid)
	dir, err := os.Open(folder)
	if err != nil {
		return false
	}
	defer dir.Close()
	names, _ := dir.Readdirnames(-1)
	for _, name := range names {
		if target, err := os.Readlink(filepath.Join(folder, name)); err == nil && target == socket {
			return true
		}
	}
	return false
}

// Layout of a request and an answer of the kernel's socket diagnostics (sock_diag(7)).
const (
	diagByFamily = 20
	headerBytes  = 16
	requestBytes = headerBytes + 56
	// inodeOffset is where an answer holds the inode: after the header, 4 bytes, the socket's id and 4 numbers.
	inodeOffset = headerBytes + 4 + 48 + 16
)

// socketInode returns the inode of the socket between two addresses on the side of the first.
func socketInode(local, remote *net.TCPAddr) (uint32, error) {
	fd, err := unix.Socket(unix.AF_NETLINK, unix.SOCK_RAW|unix.SOCK_CLOEXEC, unix.NETLINK_SOCK_DIAG)
	if err != nil {
		return 0, err
	}
	defer unix.Close(fd)
	if err := unix.Sendto(fd, diagRequest(local, remote), 0, &unix.SockaddrNetlink{Family: unix.AF_NETLINK}); err != nil {
		return 0, err
	}
	answer := make([]byte, 4096)
	n, _, err := unix.Recvfrom(fd, answer, 0)
	if err != nil {
		return 0, err
	}
	if n < inodeOffset+4 || binary.NativeEndian.Uint16(answer[4:]) != diagByFamily {
		return 0, unix.ENOENT
	}
	return binary.NativeEndian.Uint32(answer[inodeOffset:]), nil
}

// diagRequest asks for one TCP socket over IPv4.
func diagRequest(local, remote *net.TCPAddr) []byte {
	b := make([]byte, requestBytes)
	binary.NativeEndian.PutUint32(b, requestBytes)
	binary.NativeEndian.PutUint16(b[4:], diagByFamily)
	binary.NativeEndian.PutUint16(b[6:], unix.NLM_F_REQUEST)
	body := b[headerBytes:]
	body[0], body[1] = unix.AF_INET, unix.IPPROTO_TCP
	binary.NativeEndian.PutUint32(body[4:], ^uint32(0)) // any state
	binary.BigEndian.PutUint16(body[8:], uint16(local.Port))
	binary.BigEndian.PutUint16(body[10:], uint16(remote.Port))
	copy(body[12:], local.IP.To4())
	copy(body[28:], remote.IP.To4())
	binary.NativeEndian.PutUint64(body[48:], ^uint64(0)) // no cookie
	return b
}
