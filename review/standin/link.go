package main

import (
	"net"
	"sync"
	"time"
)

// link carries the connections to one minion. While it is cut, nothing passes in either direction; what was sent meanwhile arrives
// afterwards, as over TCP, unless its sender has given up.
type link struct {
	address string
	target  string

	mu   sync.Mutex
	open chan struct{} // closed while the link passes data

	listener net.Listener
	conns    map[net.Conn]bool
	closed   bool
}

func startLink(address, target string) (*link, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	k := &link{address: l.Addr().String(), target: target, open: make(chan struct{}), listener: l, conns: make(map[net.Conn]bool)}
	close(k.open)
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go k.serve(conn)
		}
	}()
	return k, nil
}

// cut stops all traffic for a time.
func (k *link) cut(d time.Duration) {
	k.mu.Lock()
	k.open = make(chan struct{})
	open := k.open
	k.mu.Unlock()
	time.AfterFunc(d, func() { close(open) })
}

// wait returns once the link passes data.
func (k *link) wait() {
	k.mu.Lock()
	open := k.open
	k.mu.Unlock()
	<-open
}

func (k *link) serve(from net.Conn) {
	defer func() { _ = from.Close() }()
	k.mu.Lock()
	if k.closed {
		k.mu.Unlock()
		return
	}
	k.conns[from] = true
	k.mu.Unlock()
	defer func() {
		k.mu.Lock()
		defer k.mu.Unlock()
		delete(k.conns, from)
	}()
	k.wait()
	to, err := net.Dial("tcp", k.target)
	if err != nil {
		return
	}
	defer func() { _ = to.Close() }()
	done := make(chan struct{}, 2)
	pass := func(dst, src net.Conn) {
		defer func() { done <- struct{}{} }()
		buffer := make([]byte, 64<<10)
		for {
			n, err := src.Read(buffer)
			k.wait()
			if n > 0 {
				if _, err := dst.Write(buffer[:n]); err != nil {
					return
				}
			}
			if err != nil {
				return
			}
		}
	}
	go pass(to, from)
	go pass(from, to)
	<-done
}

// close ends the link with all its connections.
func (k *link) close() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.closed = true
	_ = k.listener.Close()
	for c := range k.conns {
		_ = c.Close()
	}
}
