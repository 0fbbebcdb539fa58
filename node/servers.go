package node

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/jackdawlane/jackdawlane/control"
	"github.com/jackdawlane/jackdawlane/guard"
	"github.com/jackdawlane/jackdawlane/hop"
)

// headerTimeout bounds how long a connection may take to send request headers.
const headerTimeout = 10 * time.Second

// servers holds the servers in the order in which a planned stop closes them:
// callers first, then the work of other entries, then control, which entries
// need until their last answer is fetched.
type servers []server

// listen opens all addresses before any is served. It returns ErrListen.
func (n *Node) listen() (servers, error) {
	s := n.settings.Node
	traffic := n.entry.Server()
	traffic.Handler = n.tracing.Handler("entry", n.metrics, n.refuseWhenStopping(n.entry))
	hopServer := control.NewServer(n.tracing.Handler("guard", n.metrics, n.guard))
	controlServer := control.NewServer(control.NewHandler(control.Services{
		Syncer:   n.syncer,
		Config:   n.config,
		Attempts: guard.Control{Guard: n.guard},
		Reports:  n.observer,
		Keys:     n.keys,
	}))
	var all servers
	for _, part := range []struct {
		address netip.AddrPort
		server  *http.Server
	}{
		{s.TrafficAddress, traffic},
		{s.HopAddress, hopServer},
		{s.AnnounceAddress, newServer(n.guard.AnnounceHandler())},
		{s.ControlAddress, controlServer},
		{s.MetricsAddress, newServer(n.metrics.Handler())},
	} {
		listener, err := net.Listen("tcp", part.address.String())
		if err != nil {
			all.close()
			return nil, errors.Mark(err, ErrListen)
		}
		all = append(all, server{Server: part.server, listener: listener})
	}
	return all, nil
}

func newServer(h http.Handler) *http.Server {
	return &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout}
}

func (s servers) close() {
	for _, one := range s {
		_ = one.listener.Close()
	}
}

// refuseWhenStopping turns callers' new requests away during a planned stop.
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

// stop refuses new work, lets work in flight end, and closes the servers.
func (n *Node) stop(all servers) error {
	n.logger.Info("stopping", "timeout", n.settings.Node.StopTimeout)
	n.stopping.Store(true)
	n.guard.Stop()
	ctx, cancel := context.WithTimeout(context.Background(), n.settings.Node.StopTimeout)
	defer cancel()
	n.announceLeaving(ctx)
	var failed error
	for _, s := range all {
		if err := s.Shutdown(ctx); err != nil {
			failed = errors.CombineErrors(failed, errors.Wrapf(err, "requests in flight on %s", s.listener.Addr()))
			_ = s.Close()
		}
	}
	n.observer.Release(ctx)
	n.keys.Close()
	n.client.Close()
	return errors.CombineErrors(failed, n.tracing.Shutdown(ctx))
}

// leaveInterval lets the record of a leaving node reach its relay, and the
// backend servers move on, before connections are refused.
const leaveInterval = 2 * time.Second

func (n *Node) announceLeaving(ctx context.Context) {
	select {
	case <-time.After(min(leaveInterval, n.settings.Node.StopTimeout/4)):
	case <-ctx.Done():
	}
}
