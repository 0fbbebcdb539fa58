package guard

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jackdawlane/jackdawlane/hop"
)

// recordingObserver keeps the dispatches that it was told of.
type recordingObserver struct {
	noObserver
	mu   sync.Mutex
	seen []DispatchReport
}

func (o *recordingObserver) Observe(d DispatchReport) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.seen = append(o.seen, d)
}

func (o *recordingObserver) dispatches() []DispatchReport {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.seen
}

// Guards against a backend server that is suspected because an entry, or the
// path to it, does not deliver the request: the scenario one-way-cut saw two
// healthy backend servers ejected for uploads that stalled on a cut path.
func TestUploadIsNotTheBackendServersTime(t *testing.T) {
	f := newFixture(t)
	o := &recordingObserver{}
	f.guard.config.HealthMonitor = o
	close(f.proceed)
	send := func(id string, timeout string, body io.Reader) {
		r := f.request(context.Background(), id)
		r.Body = io.NopCloser(body)
		r.ContentLength = -1
		r.Header.Set(hop.HeaderTimeoutMS, timeout)
		res, err := http.DefaultClient.Do(r)
		if err == nil {
			_, _ = io.Copy(io.Discard, res.Body)
			_ = res.Body.Close()
		}
	}

	stalled, stopped := io.Pipe()
	defer stopped.Close()
	send(f.newID(), "200", io.MultiReader(strings.NewReader("begin"), stalled))
	f.until("attempt ended", func() bool { return f.load() == 0 })
	for _, d := range o.dispatches() {
		assert.Assert(t, d.Result != Failed, "a stalled upload counted as a failure")
	}

	const uploadTime = 300 * time.Millisecond
	slow, upload := io.Pipe()
	time.AfterFunc(uploadTime, func() { _ = upload.Close() })
	before := len(o.dispatches())
	send(f.newID(), "20000", slow)
	f.until("dispatch reported", func() bool { return len(o.dispatches()) > before })
	last := o.dispatches()[before]
	assert.Equal(t, last.Result, OK)
	assert.Assert(t, last.Latency < uploadTime, "latency %v contains the upload", last.Latency)
}
