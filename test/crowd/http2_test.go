package crowd

import (
	"encoding/binary"
	"strings"
)

// Types and flags of HTTP/2 frames (RFC 9113, section 6).
const (
	frameHeaders   = 1
	frameSettings  = 4
	flagEndHeaders = 4

	http2Preface = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"
)

// streams returns the beginning of an HTTP/2 connection with n POST requests whose bodies don't begin, as the body of a Request.
func streams(n int, path string, fields ...string) []byte {
	fields = append([]string{":method", "POST", ":scheme", "http", ":path", path, ":authority", host, "content-length", "1000"}, fields...)
	conn := openHTTP2()
	for i := range n {
		conn = append(conn, frame(frameHeaders, flagEndHeaders, uint32(2*i+1), headerBlock(fields))...)
	}
	return conn
}

// stalledHeaders returns the beginning of an HTTP/2 connection with the header of a request that stops short.
func stalledHeaders() []byte {
	return append(openHTTP2(), frame(frameHeaders, 0, 1, headerBlock([]string{":method", "GET", ":scheme", "http"}))...)
}

// openHTTP2 returns what a client sends before its first request.
func openHTTP2() []byte { return append([]byte(http2Preface), frame(frameSettings, 0, 0, nil)...) }

func frame(kind, flags byte, stream uint32, payload []byte) []byte {
	head := binary.BigEndian.AppendUint32(nil, uint32(len(payload))<<8|uint32(kind))
	head = binary.BigEndian.AppendUint32(append(head, flags), stream)
	return append(head, payload...)
}

// headerBlock encodes pairs of names and values as literals that aren't indexed (RFC 7541, section 6.2.2).
func headerBlock(fields []string) []byte {
	var b []byte
	for i, text := range fields {
		if i%2 == 0 {
			b = append(b, 0)
		}
		b = append(literalLength(b, len(text)), text...)
	}
	return b
}

func literalLength(b []byte, n int) []byte {
	const prefix = 1<<7 - 1
	if n < prefix {
		return append(b, byte(n))
	}
	return binary.AppendUvarint(append(b, prefix), uint64(n-prefix))
}

func largeField() []string { return []string{"x-filler", strings.Repeat("x", largeHeader)} }
