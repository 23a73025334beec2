package peer

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	laburnumv1 "laburnumrouter/proto/laburnum/v1"
	"laburnumrouter/proto/laburnum/v1/laburnumv1connect"
)

// sizedReporter is a report service whose response has a leader name of the given length.
type sizedReporter struct {
	laburnumv1connect.UnimplementedReportServiceHandler
	length int
}

func (s sizedReporter) Report(context.Context, *laburnumv1.ReportRequest) (*laburnumv1.ReportResponse, error) {
	return &laburnumv1.ReportResponse{Leader: strings.Repeat("x", s.length)}, nil
}

// Small responses stay uncompressed to save memory: each compressor holds most of a megabyte.
func TestOnlyLargeResponsesAreCompressed(t *testing.T) {
	for length, want := range map[int]string{compressMinBytes / 2: "", 2 * compressMinBytes: "gzip"} {
		_, handler := laburnumv1connect.NewReportServiceHandler(sizedReporter{length: length}, CompressLarge())
		r := httptest.NewRequest(http.MethodPost, laburnumv1connect.ReportServiceReportProcedure, strings.NewReader("{}"))
		r.Header.Set("Content-Type", "application/json")
		r.Header.Set("Accept-Encoding", "gzip")
		w := httptest.NewRecorder()
		handler.ServeHTTP(w, r)
		must.Eq(t, http.StatusOK, w.Code)
		must.Eq(t, want, w.Header().Get("Content-Encoding"))
	}
}
