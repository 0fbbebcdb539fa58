package node

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/jackdawlane/jackdawlane/connlimit"
	"github.com/jackdawlane/jackdawlane/control"
	"github.com/jackdawlane/jackdawlane/entry"
	"github.com/jackdawlane/jackdawlane/guard"
	"github.com/jackdawlane/jackdawlane/hop"
	"github.com/jackdawlane/jackdawlane/linger"
)

// readHeaderTimeout bounds the time in which a client must send its request headers.
const readHeaderTimeout = 10 * time.Second

// servers holds the servers in the order in which a planned stop closes them: first the
// traffic server, which serves callers, then the hop server, which serves the attempts of
// other entries. The control server is closed after these two, because entries need it
// until they have fetched their last answer.
type servers []server

// listen opens the listeners of all servers before any of them serves. It returns
// ErrListen if it cannot listen on an address.
func (n *Node) listen() (servers, error) {
	s := n.settings.Node
	traffic := n.entry.Server()
	traffic.Handler = n.tracing.Handler("entry", n.metrics, n.refuseWhenStopping(n.entry))
	hopServer := control.NewServer(n.tracing.Handler("guard", n.metrics, n.guard))
	controlServer := control.NewServer(n.entry.ExplainHandler(control.NewHandler(control.Services{
		Syncer:   n.syncer,
		Config:   n.config,
		Attempts: guard.ControlService{Guard: n.guard},
		Reports:  n.monitor,
		Keys:     n.keyRegister,
	})))
	clients := connlimit.New(connlimit.Options{Limits: n.settings.Limits, Name: "traffic", Outcome: true, Metrics: n.metrics, Logger: n.logger})
	fleet := connlimit.New(connlimit.Options{Limits: n.settings.Limits.ForFleet(), Name: "fleet", Outcome: true, Metrics: n.metrics, Logger: n.logger})
	var all servers
	for _, part := range []struct {
		address netip.AddrPort
		gate    *connlimit.Gate
		server  *http.Server
	}{
		{s.TrafficAddress, clients, traffic},
		{s.HopAddress, fleet, hopServer},
		{s.AnnounceAddress, fleet, newServer(n.guard.AnnounceHandler())},
		{s.ControlAddress, fleet, controlServer},
		{s.MetricsAddress, fleet, newServer(n.entry.ExplainHandler(n.metrics.Handler()))},
	} {
		listener, err := net.Listen("tcp", part.address.String())
		if err != nil {
			all.close()
			return nil, errors.Mark(err, ErrListen)
		}
		part.server.MaxHeaderBytes = 2 * n.settings.Limits.MaxHeaderBytes
		part.gate.Wrap(part.server)
		all = append(all, server{Server: linger.NewServer(part.server, nil), listener: part.gate.Listener(listener, part.server)})
	}
	return all, nil
}

func newServer(h http.Handler) *http.Server {
	return &http.Server{Handler: h, ReadHeaderTimeout: readHeaderTimeout}
}

func (s servers) close() {
	for _, one := range s {
		_ = one.listener.Close()
	}
}

// refuseWhenStopping refuses new requests of callers during a planned stop.
func (n *Node) refuseWhenStopping(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !n.stopping.Load() {
			next.ServeHTTP(w, r)
			return
		}
		w.Header().Set(hop.HeaderOutcome, string(hop.OutcomeNotRun))
		w.Header().Set(hop.HeaderReason, string(hop.ReasonStopping))
		w.Header().Set("Retry-After", "1")
		w.Header().Set("Connection", "close")
		http.Error(w, "not run: this node is stopping; send to another node", http.StatusServiceUnavailable)
	})
}

// stop refuses new requests, waits for the requests in flight to end, and closes the
// servers. The entry answers the requests that would outlast the stop. A server that still
// has requests in flight at the stop timeout is closed anyway.
func (n *Node) stop(all servers) error {
	n.logger.Info("stopping", "timeout", n.settings.Node.StopTimeout)
	n.entry.ScheduleStop(entry.StopTimesWithin(time.Now(), n.settings.Node.StopTimeout))
	n.stopping.Store(true)
	n.guard.Stop()
	ctx, cancel := context.WithTimeout(context.Background(), n.settings.Node.StopTimeout)
	defer cancel()
	n.waitForLeavingRecord(ctx)
	var failed error
	for _, s := range all {
		if err := s.Shutdown(ctx); err != nil {
			failed = errors.CombineErrors(failed, errors.Wrapf(err, "server on %s was closed with requests in flight", s.listener.Addr()))
			_ = s.Close()
		}
	}
	n.monitor.Release(ctx)
	n.keyRegister.Close()
	n.client.Close()
	return errors.CombineErrors(failed, n.tracing.Shutdown(ctx))
}

// leavingRecordDelay is the longest time between the start of a planned stop and the
// closing of the servers. In this time the record of the leaving node reaches its relay,
// and the backend servers change to another node, before connections are refused.
const leavingRecordDelay = 2 * time.Second

// waitForLeavingRecord waits while updateRecord announces that this node is leaving.
func (n *Node) waitForLeavingRecord(ctx context.Context) {
	select {
	case <-time.After(min(leavingRecordDelay, n.settings.Node.StopTimeout/4)):
	case <-ctx.Done():
	}
}
