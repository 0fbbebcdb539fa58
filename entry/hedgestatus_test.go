package entry_test

import (
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jackdawlane/jackdawlane/hop"
)

// Guards against two parallel attempts that use the state of their request at the same time
// without a lock. The race detector reports it.
func TestHedgeWhileAnswerIsRelayed(t *testing.T) {
	const long = 600 << 10
	part := strings.Repeat("x", long/2)
	var attempts atomic.Int32
	url := newEntryForHandler(t, 2, 0, func(w http.ResponseWriter, r *http.Request) {
		w.WriteHeader(hop.StatusAcknowledged)
		if attempts.Add(1) > 1 {
			<-r.Context().Done()
			return
		}
		w.Header().Set(hop.HeaderOutcome, string(hop.OutcomeAnswer))
		io.WriteString(w, part)
		http.NewResponseController(w).Flush()
		// The second attempt starts after 1 s, while the entry relays this answer.
		time.Sleep(1300 * time.Millisecond)
		io.WriteString(w, part)
	})
	res, err := client.Get(url + "/")
	assert.NilError(t, err)
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	assert.NilError(t, err)
	assert.Equal(t, attempts.Load(), int32(2))
	assert.Assert(t, string(body) == part+part, "the caller got %d bytes, and the answer has %d", len(body), long)
}
