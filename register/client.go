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
	// claimTimeout bounds a call to one owner, so that a paused one is passed by.
	claimTimeout = time.Second
	// ownersAsked bounds the owners that are asked about one claim.
	ownersAsked = 2
)

// Client calls the owners of shards. The directory only says whom to ask first:
// any node may be asked, and the store decides between them.
type Client struct {
	// Nodes returns the records of the live nodes.
	Nodes func() []*pb.NodeRecord
	// Node returns the calls to the node at a control address.
	Node func(address string) jackdawlanev1connect.ControlServiceClient
}

// Claim asks the owner of the key, or the next node in the order if that gives
// no decision.
func (c *Client) Claim(ctx context.Context, r *pb.ClaimKeyRequest) *pb.ClaimKeyResponse {
	for _, address := range c.owners(r.GetKey()) {
		if reply := c.claimAt(ctx, address, r); reply.GetClaim() != pb.KeyClaim_KEY_CLAIM_UNAVAILABLE {
			return reply
		}
	}
	return &pb.ClaimKeyResponse{Claim: pb.KeyClaim_KEY_CLAIM_UNAVAILABLE}
}

func (c *Client) claimAt(ctx context.Context, address string, r *pb.ClaimKeyRequest) *pb.ClaimKeyResponse {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	reply, err := c.Node(address).ClaimKey(ctx, r)
	if err != nil {
		return &pb.ClaimKeyResponse{Claim: pb.KeyClaim_KEY_CLAIM_UNAVAILABLE}
	}
	return reply
}

// Settle tells the owner of the key. It may be lost.
func (c *Client) Settle(ctx context.Context, r *pb.SettleKeyRequest) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	for _, address := range c.owners(r.GetKey()) {
		if _, err := c.Node(address).SettleKey(ctx, r); err == nil {
			return
		}
	}
}

// owners returns the control addresses of the nodes to ask, in their order.
func (c *Client) owners(key []byte) []string {
	k, err := idempotency.ParseKey(key)
	if err != nil {
		return nil
	}
	type owner struct {
		address string
		weight  uint64
	}
	var first []owner
	for _, n := range c.Nodes() {
		first = append(first, owner{n.GetControlAddress(), idempotency.Weight(k.Shard(), n.GetNodeId())})
		slices.SortFunc(first, func(a, b owner) int { return cmp.Compare(b.weight, a.weight) })
		first = first[:min(len(first), ownersAsked)]
	}
	var addresses []string
	for _, o := range first {
		addresses = append(addresses, o.address)
	}
	return addresses
}
