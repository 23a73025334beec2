package server

import (
	"strings"

	"github.com/hashicorp/go-hclog"
)

// handshakePrefix is the prefix of the lines that net/http logs for failed TLS handshakes.
const handshakePrefix = "http: TLS handshake error from "

// serverErrorLog is the target of net/http's error log. It logs each line through hclog as key=value pairs.
type serverErrorLog struct {
	log hclog.Logger
}

// Write implements io.Writer. Each call carries one line.
func (h *serverErrorLog) Write(line []byte) (int, error) {
	text := strings.TrimSpace(string(line))
	rest, ok := strings.CutPrefix(text, handshakePrefix)
	if !ok {
		h.log.Warn("HTTP server error", "error", text)
		return len(line), nil
	}
	remote, reason, _ := strings.Cut(rest, ": ")
	// A load balancer that only probes the port closes the connection without a handshake; that is not logged.
	if reason != "EOF" {
		h.log.Warn("TLS handshake refused", "remote", remote, "error", reason)
	}
	return len(line), nil
}
