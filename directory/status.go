package directory

import (
	"maps"
	"slices"

	"github.com/jackdawlane/jackdawlane/control"
	pb "github.com/jackdawlane/jackdawlane/gen/jackdawlane/v1"
	"github.com/jackdawlane/jackdawlane/membership"
)

// NodeRecords returns the records of all nodes, in the order of their IDs, to be
// shown to operators.
func (d *Directory) NodeRecords() []*pb.NodeRecord {
	d.mu.Lock()
	defer d.mu.Unlock()
	all := make([]*pb.NodeRecord, 0, len(d.records))
	for _, node := range slices.Sorted(maps.Keys(d.records)) {
		b := d.records[node].backend(node)
		all = append(all, &pb.NodeRecord{
			NodeId:         node,
			State:          pb.NodeState_NODE_STATE_SERVING,
			Region:         b.Guard.Region,
			DataCentre:     b.Guard.DataCentre,
			HopAddress:     b.Guard.HopAddress,
			ControlAddress: b.Guard.ControlAddress,
			BackendServers: control.EncodeBackends([]membership.Backend{b}),
		})
	}
	return all
}
