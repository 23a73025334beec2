package leader

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/shoenig/test/must"

	"laburnumrouter/internal/request/ledger"
)

// Guards against a format of commands that is never raised while the instances answer slowly: they were asked one after the other, all within
// one deadline, and from the beginning after it.
func TestMemberFormatAsksAllAtOnce(t *testing.T) {
	const members = 8
	var asked atomic.Int64
	all := make(chan struct{})
	var addresses []string
	for range members {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if asked.Add(1) == members {
				close(all)
			}
			select { // none answers before all are asked
			case <-all:
				_ = json.NewEncoder(w).Encode(&LeaderStatus{Format: ledger.NewestFormat})
			case <-r.Context().Done():
			}
		}))
		t.Cleanup(s.Close)
		addresses = append(addresses, strings.TrimPrefix(s.URL, "http://"))
	}
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	must.EqOp(t, ledger.NewestFormat, NewClient(nil, nil, hclog.NewNullLogger()).MemberFormat(ctx, addresses))
}
