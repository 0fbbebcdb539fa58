package node

import (
	"time"

	"github.com/jackdawlane/jackdawlane/boottime"
	"github.com/jackdawlane/jackdawlane/ejection"
	"github.com/jackdawlane/jackdawlane/membership"
	"github.com/jackdawlane/jackdawlane/objectstore"
	"github.com/jackdawlane/jackdawlane/observe"
)

func (n *Node) newMonitor(store *objectstore.Client, incarnation uint64) *observe.Monitor {
	return observe.New(observe.Config{
		NodeID:      n.settings.Node.ID,
		Incarnation: incarnation,
		View:        n.syncer.View,
		Floor:       func(service string) int { return n.config.Snapshot().Floor(service) },
		Backends:    func() []membership.Backend { return n.guard.Backends(time.Now()) },
		SendReport:  n.client.ReportService,
		Store:       observe.NewPermitStore(store, n.settings.Store.Timeout),
		Times:       ejection.Times{PermitLifetime: n.settings.Ejection.PermitLifetime, Hold: n.settings.Ejection.HoldTime},
		Clock:       boottime.Now,
		Metrics:     n.metrics,
		Logger:      n.logger,
	})
}
