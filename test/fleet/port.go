package fleet

import (
	"net"
	"syscall"
)

// port is a loopback port that stays reserved while no process listens on it, so that a killed process can be
// restarted on the same address. Connections to the port are refused meanwhile.
type port struct {
	fd     int
	number int
}

// reservePort binds a socket to a port that the kernel chooses. The socket never listens; as both sockets set
// SO_REUSEADDR, another one can listen on the same port.
func reservePort() (*port, error) {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, err
	}
	p := &port{fd: fd}
	if err := p.bind(); err != nil {
		p.close()
		return nil, err
	}
	return p, nil
}

func (p *port) bind() error {
	if err := syscall.SetsockoptInt(p.fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1); err != nil {
		return err
	}
	if err := syscall.Bind(p.fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		return err
	}
	bound, err := syscall.Getsockname(p.fd)
	if err != nil {
		return err
	}
	p.number = bound.(*syscall.SockaddrInet4).Port
	return nil
}

func (p *port) listen() (*net.TCPListener, error) {
	return net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1), Port: p.number})
}

func (p *port) close() { _ = syscall.Close(p.fd) }
