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

// recordingMonitor records the dispatches that are reported to it.
type recordingMonitor struct {
	alwaysHealthy
	mu   sync.Mutex
	seen []DispatchReport
}

func (m *recordingMonitor) Observe(d DispatchReport) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.seen = append(m.seen, d)
}

func (m *recordingMonitor) dispatches() []DispatchReport {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.seen
}

// Guards against suspecting a backend server because the entry, or the path between
// entry and guard, does not deliver the request. In the scenario one-way-cut two
// healthy backend servers were ejected because uploads stalled on an interrupted path.
func TestUploadTimeDoesNotCountAgainstBackendServer(t *testing.T) {
	f := newFixture(t)
	monitor := &recordingMonitor{}
	f.guard.config.HealthMonitor = monitor
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
	for _, d := range monitor.dispatches() {
		assert.Assert(t, d.Result != Failed, "a stalled upload counted as a failure")
	}

	const uploadTime = 300 * time.Millisecond
	slow, upload := io.Pipe()
	time.AfterFunc(uploadTime, func() { _ = upload.Close() })
	before := len(monitor.dispatches())
	send(f.newID(), "20000", slow)
	f.until("dispatch reported", func() bool { return len(monitor.dispatches()) > before })
	last := monitor.dispatches()[before]
	assert.Equal(t, last.Result, OK)
	assert.Assert(t, last.Latency < uploadTime, "latency %v includes the upload time", last.Latency)
}
