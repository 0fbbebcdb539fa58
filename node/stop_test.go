package node

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jackdawlane/jackdawlane/config"
	"github.com/jackdawlane/jackdawlane/guard"
	"github.com/jackdawlane/jackdawlane/hop"
	"github.com/jackdawlane/jackdawlane/membership"
	"github.com/jackdawlane/jackdawlane/route"
)

// startBackend starts a backend server that announces itself to the node, and waits until the node
// uses it.
func (f *fixture) startBackend(handler http.HandlerFunc) {
	f.Helper()
	server := httptest.NewServer(handler)
	f.Cleanup(server.CloseClientConnections)
	body, err := json.Marshal(guard.Announcement{
		Service: "s", Address: server.Listener.Addr().String(), Slots: 8, Connections: 16,
		State: membership.StateReady, Credential: secret,
	})
	assert.NilError(f, err)
	announce := func() bool {
		res, err := http.Post("http://"+f.settings.Node.AnnounceAddress.String()+"/v1/announce", "application/json", bytes.NewReader(body))
		if err != nil {
			return false
		}
		res.Body.Close()
		return res.StatusCode == http.StatusNoContent
	}
	f.waitUntil("an accepted announcement", announce)
	go func() {
		for f.Context().Err() == nil {
			announce()
			time.Sleep(500 * time.Millisecond)
		}
	}()
	f.waitUntil("a usable backend server", func() bool { return len(f.node.syncer.View().Backends("s")) == 1 })
}

// Guards against a planned stop that cuts requests without an answer: running ones that outlast it, and one
// whose body stops arriving.
func TestStopAnswersRequestsThatOutlastIt(t *testing.T) {
	f := startFixture(t)
	f.commit(config.Upserts{Routes: []route.Route{{Name: "read", Organisation: "o", PathPrefix: "/read/", Pool: "p", TimeoutMS: 20_000, Idempotent: true}}})
	f.waitUntil("the route", func() bool { return f.node.config.Snapshot().Version() == 2 })
	running := make(chan string, 2)
	f.startBackend(func(w http.ResponseWriter, r *http.Request) {
		if strings.HasSuffix(r.URL.Path, "/long") {
			running <- r.URL.Path
			<-r.Context().Done()
		}
	})
	head := func(method, path string) string {
		return method + " " + path + " HTTP/1.1\r\nHost: app.example\r\n" + authorization
	}
	f.waitUntil("a reading of the guard's clock", func() bool {
		conn := f.dial()
		_, err := io.WriteString(conn, head("POST", "/orders/x")+"Content-Length: 1\r\n\r\nx")
		assert.NilError(f, err)
		res, err := http.ReadResponse(bufio.NewReader(conn), nil)
		return err == nil && res.StatusCode == http.StatusOK
	})
	type ended struct {
		outcome string
		status  int
		err     error
	}
	requests := []struct {
		text string
		want ended
	}{
		{head("POST", "/orders/long") + "Content-Length: 1\r\n\r\nx", ended{outcome: string(hop.OutcomeUnknown), status: http.StatusBadGateway}},
		{head("GET", "/read/long") + "\r\n", ended{outcome: string(hop.OutcomeUnknown), status: http.StatusBadGateway}},
		{head("POST", "/orders/stalled") + "Content-Length: 10\r\n\r\nx", ended{outcome: string(hop.OutcomeNotRun), status: http.StatusServiceUnavailable}},
	}
	results := make([]chan ended, len(requests))
	for i, q := range requests {
		results[i] = make(chan ended, 1)
		conn := f.dial()
		_, err := io.WriteString(conn, q.text)
		assert.NilError(t, err)
		go func() {
			res, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil {
				results[i] <- ended{err: err}
				return
			}
			results[i] <- ended{outcome: res.Header.Get(hop.HeaderOutcome), status: res.StatusCode}
		}()
	}
	<-running
	<-running
	time.Sleep(100 * time.Millisecond)
	began := time.Now()
	_ = f.stop()
	assert.Check(t, time.Since(began) <= f.settings.Node.StopTimeout+200*time.Millisecond)
	for i, q := range requests {
		got := <-results[i]
		assert.Check(t, got == q.want, "%.20s: got %v, want %v", q.text, got, q.want)
	}
}
