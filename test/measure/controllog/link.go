package controllog

import (
	"context"
	"io"
	"net"
	"sync/atomic"
)

// countedLink forwards TCP connections and counts the bytes in both directions, without TCP and IP headers.
type countedLink struct {
	listener net.Listener
	target   string
	bytes    atomic.Int64
}

func freeAddress() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	return l.Addr().String(), l.Close()
}

// listenCounted starts a link to target on a free loopback port. It stops accepting connections when ctx ends.
func listenCounted(ctx context.Context, target string) (*countedLink, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	link := &countedLink{listener: l, target: target}
	context.AfterFunc(ctx, func() { _ = l.Close() })
	go link.accept()
	return link, nil
}

func (l *countedLink) address() string { return l.listener.Addr().String() }

func (l *countedLink) accept() {
	for {
		in, err := l.listener.Accept()
		if err != nil {
			return
		}
		out, err := net.Dial("tcp", l.target)
		if err != nil {
			_ = in.Close()
			continue
		}
		go l.copy(out, in)
		go l.copy(in, out)
	}
}

func (l *countedLink) copy(to, from net.Conn) {
	_, _ = io.Copy(&countingWriter{to: to, bytes: &l.bytes}, from)
	_ = to.Close()
	_ = from.Close()
}

type countingWriter struct {
	to    io.Writer
	bytes *atomic.Int64
}

// Write implements io.Writer and counts the bytes that were written.
func (w *countingWriter) Write(p []byte) (int, error) {
	n, err := w.to.Write(p)
	w.bytes.Add(int64(n))
	return n, err
}
