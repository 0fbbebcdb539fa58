package register

import (
	"cmp"
	"context"
	"slices"
	"time"

	pb "github.com/jackdawlane/jackdawlane/gen/jackdawlane/v1"
	"github.com/jackdawlane/jackdawlane/gen/jackdawlane/v1/jackdawlanev1connect"
	"github.com/jackdawlane/jackdawlane/idempotency"
)

const (
	// claimTimeout bounds a claim at one owner, so that the client asks the next owner
	// when one does not respond, for example because it is paused. It also bounds a
	// whole call of Settle, which may ask several owners.
	claimTimeout = time.Second
	// maxOwnersAsked bounds the number of nodes that are asked about one key.
	maxOwnersAsked = 2
)

// Client sends requests to the owners of shards. The list of nodes only says which
// nodes to ask first. Any node can own any shard, and when two nodes own the
// same one, the object store decides which of their writes takes effect.
type Client struct {
	// Nodes returns the records of the live nodes.
	Nodes func() []*pb.NodeRecord
	// NodeClient returns the client for the node at a control address.
	NodeClient func(address string) jackdawlanev1connect.ControlServiceClient
}

// Claim claims a key at the node that should own its shard, which is the node with the
// highest rendezvous weight for the shard. If that node gives no decision, Claim asks the
// node with the next lower weight.
func (c *Client) Claim(ctx context.Context, r *pb.ClaimKeyRequest) *pb.ClaimKeyResponse {
	for _, address := range c.owners(r.GetKey()) {
		if response := c.claimAt(ctx, address, r); response.GetClaim() != pb.KeyClaim_KEY_CLAIM_UNAVAILABLE {
			return response
		}
	}
	return &pb.ClaimKeyResponse{Claim: pb.KeyClaim_KEY_CLAIM_UNAVAILABLE}
}

func (c *Client) claimAt(ctx context.Context, address string, r *pb.ClaimKeyRequest) *pb.ClaimKeyResponse {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	response, err := c.NodeClient(address).ClaimKey(ctx, r)
	if err != nil {
		return &pb.ClaimKeyResponse{Claim: pb.KeyClaim_KEY_CLAIM_UNAVAILABLE}
	}
	return response
}

// Settle sends a settlement to the node that should own the shard of the key, or to
// the node with the next lower rendezvous weight if the call fails. The settlement may
// be lost.
func (c *Client) Settle(ctx context.Context, r *pb.SettleKeyRequest) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	for _, address := range c.owners(r.GetKey()) {
		if _, err := c.NodeClient(address).SettleKey(ctx, r); err == nil {
			return
		}
	}
}

// owners returns the control addresses of the nodes to ask about a key, in descending
// order of their rendezvous weights.
func (c *Client) owners(key []byte) []string {
	k, err := idempotency.ParseKey(key)
	if err != nil {
		return nil
	}
	type owner struct {
		address string
		weight  uint64
	}
	var heaviest []owner
	for _, n := range c.Nodes() {
		heaviest = append(heaviest, owner{n.GetControlAddress(), idempotency.OwnerWeight(k.Shard(), n.GetNodeId())})
		slices.SortFunc(heaviest, func(a, b owner) int { return cmp.Compare(b.weight, a.weight) })
		heaviest = heaviest[:min(len(heaviest), maxOwnersAsked)]
	}
	var addresses []string
	for _, o := range heaviest {
		addresses = append(addresses, o.address)
	}
	return addresses
}
