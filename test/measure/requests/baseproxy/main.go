// Command baseproxy is the baseline of the request measurements: a plain reverse proxy that uses the backend
// servers in turn. Given a number of slots, it admits waiting requests first in, first out.
package main

import (
	"context"
	"net"
	"net/http"
	"net/http/httputil"
	"net/url"
	"os"
	"strings"
	"sync/atomic"

	"github.com/alecthomas/kong"
)

const connsPerServer = 64

type commandLine struct {
	Servers string `help:"Addresses of the backend servers, separated by commas." required:""`
	Slots   int    `help:"Requests that run at one time; 0 for no bound."`
}

func main() {
	var cli commandLine
	kong.Parse(&cli)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	_, _ = os.Stdout.WriteString(l.Addr().String() + "\n")
	_ = http.Serve(l, handler(&cli))
}

func handler(cli *commandLine) http.Handler {
	servers := strings.Split(cli.Servers, ",")
	var next atomic.Uint64
	proxy := &httputil.ReverseProxy{
		Rewrite: func(r *httputil.ProxyRequest) {
			server := servers[next.Add(1)%uint64(len(servers))]
			r.SetURL(&url.URL{Scheme: "http", Host: server})
		},
		Transport: &http.Transport{MaxIdleConnsPerHost: connsPerServer, DialContext: (&net.Dialer{}).DialContext},
	}
	if cli.Slots == 0 {
		return proxy
	}
	slots := make(chan struct{}, cli.Slots)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !acquireSlot(r.Context(), slots) {
			return
		}
		defer func() { <-slots }()
		proxy.ServeHTTP(w, r)
	})
}

// acquireSlot waits for a free slot. It returns false if ctx ends first.
func acquireSlot(ctx context.Context, slots chan<- struct{}) bool {
	select {
	case slots <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}
