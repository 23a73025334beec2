package metrics

import (
	"net/http/httptest"
	"testing"
	"time"

	dto "github.com/prometheus/client_model/go"
	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"
	"github.com/shoenig/test/must"
	"github.com/uber-go/tally/v4"
)

// scrape reads the registry's HTTP response and parses it with the Prometheus text parser.
func scrape(t *testing.T, r *Registry) map[string]*dto.MetricFamily {
	w := httptest.NewRecorder()
	r.ServeHTTP(w, httptest.NewRequest("GET", "/metrics", nil))
	must.StrHasPrefix(t, "text/plain; version=0.0.4", w.Header().Get("Content-Type"))
	parser := expfmt.NewTextParser(model.LegacyValidation)
	families, err := parser.TextToMetricFamilies(w.Body)
	must.NoError(t, err)
	return families
}

func TestServesPrometheusText(t *testing.T) {
	r := New("laburnum_entry", "entry-1")
	scope := r.Scope().Tagged(map[string]string{"pool": `a"b\`})
	scope.Counter("requests").Inc(3)
	scope.Gauge("waiting").Update(7)
	scope.Timer("answer").Record(30 * time.Millisecond)
	histogram := scope.Histogram("wait", tally.DurationBuckets{10 * time.Millisecond, time.Second})
	for _, d := range []time.Duration{time.Millisecond, 20 * time.Millisecond, time.Hour} {
		histogram.RecordDuration(d)
	}
	must.NoError(t, r.Close()) // reports pending values

	families := scrape(t, r)
	counter := families["laburnum_entry_requests"]
	must.Eq(t, dto.MetricType_COUNTER, counter.GetType())
	must.Eq(t, 3.0, counter.Metric[0].GetCounter().GetValue())
	must.Eq(t, `a"b\`, labels(counter.Metric[0])["pool"])
	must.Eq(t, "entry-1", labels(counter.Metric[0])["node"])
	must.Eq(t, dto.MetricType_GAUGE, families["laburnum_entry_waiting"].GetType())

	timer := families["laburnum_entry_answer"].Metric[0].GetHistogram()
	must.Eq(t, 1, timer.GetSampleCount())
	must.Eq(t, 0.03, timer.GetSampleSum())

	buckets := families["laburnum_entry_wait"].Metric[0].GetHistogram()
	must.Eq(t, 3, buckets.GetSampleCount())
	var last uint64
	for _, b := range buckets.Bucket {
		must.GreaterEq(t, last, b.GetCumulativeCount())
		last = b.GetCumulativeCount()
	}
	must.Eq(t, 1, buckets.Bucket[0].GetCumulativeCount())
	must.Eq(t, 2, buckets.Bucket[1].GetCumulativeCount())
	must.MapContainsKey(t, families, "process_cpu_seconds_total")
}

// TestMetricWithOtherTagsIsRejectedAndCounted uses one metric name with two different sets of tags.
func TestMetricWithOtherTagsIsRejectedAndCounted(t *testing.T) {
	r := New("laburnum_entry", "entry-1")
	r.Scope().Counter("requests").Inc(1)
	r.Scope().Tagged(map[string]string{"pool": "a"}).Counter("requests").Inc(1)
	must.NoError(t, r.Close())
	must.Eq(t, 1.0, scrape(t, r)["laburnum_metrics_rejected_total"].Metric[0].GetCounter().GetValue())
}

func labels(m *dto.Metric) map[string]string {
	byName := make(map[string]string)
	for _, l := range m.Label {
		byName[l.GetName()] = l.GetValue()
	}
	return byName
}
