// Package metrics collects tally counters, gauges, timers and histograms and serves them in the Prometheus text format,
// together with the Go runtime's metrics and the CPU and memory use of the process.
package metrics

import (
	"io"
	"net/http"
	"time"
	"unicode"

	prom "github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"
)

const reportInterval = time.Second

// Registry collects metrics of one process. It implements http.Handler.
type Registry struct {
	scope    tally.Scope
	closer   io.Closer
	handler  http.Handler
	rejected prom.Counter
}

// New returns a registry whose metrics have the prefix in their names and the node's name as a tag. A metric that is used
// again with other tag names can't be registered; laburnum_metrics_rejected_total counts these.
func New(prefix, node string) *Registry {
	registry := prom.NewRegistry()
	r := &Registry{rejected: prom.NewCounter(prom.CounterOpts{
		Name: "laburnum_metrics_rejected_total",
		Help: "metrics that could not be registered",
	})}
	registry.MustRegister(r.rejected, collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	reporter := prometheus.NewReporter(prometheus.Options{
		Registerer:       registry,
		Gatherer:         registry,
		DefaultTimerType: prometheus.HistogramTimerType,
		OnRegisterError:  func(error) { r.rejected.Inc() },
	})
	r.handler = reporter.HTTPHandler()
	r.scope, r.closer = tally.NewRootScope(tally.ScopeOptions{
		Prefix:          prefix,
		Tags:            map[string]string{"node": node},
		CachedReporter:  reporter,
		Separator:       prometheus.DefaultSeparator,
		SanitizeOptions: sanitizer(),
		// Leaves out tally's metrics about itself.
		OmitCardinalityMetrics: true,
	}, reportInterval)
	return r
}

// sanitizer returns options that restrict metric names to the characters that Prometheus allows and leave tag values
// unchanged.
func sanitizer() *tally.SanitizeOptions {
	options := prometheus.DefaultSanitizerOpts
	options.ValueCharacters = tally.ValidCharacters{Ranges: []tally.SanitizeRange{{' ', unicode.MaxRune}}}
	return &options
}

// Scope returns the root scope.
func (r *Registry) Scope() tally.Scope { return r.scope }

// Close reports pending values and stops the periodic reporting.
func (r *Registry) Close() error { return r.closer.Close() }

// ServeHTTP serves all metrics in the Prometheus text format.
func (r *Registry) ServeHTTP(w http.ResponseWriter, req *http.Request) { r.handler.ServeHTTP(w, req) }
