package node

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"github.com/jackdawlane/jackdawlane/config"
	"github.com/jackdawlane/jackdawlane/control"
	pb "github.com/jackdawlane/jackdawlane/gen/jackdawlane/v1"
)

const (
	// pagesPerCall bounds the answer of one GetConfig call to about 4 MB.
	pagesPerCall = 128
	// somePeers is the number of peers asked after the one that reported a version failed.
	somePeers = 8
	// parallelPeers bounds the calls in flight of a starting node.
	parallelPeers = 64
)

// errPeer marks a peer that did not give the configuration it reported.
var errPeer = errors.New("configuration from peer")

// configPeers reads heads and pages from other nodes.
type configPeers struct {
	own     string
	seeds   []string
	timeout time.Duration
	// records returns the directory.
	records func() []*pb.NodeRecord
	client  *control.Client
}

// all returns the control addresses of the seeds and of the nodes of the directory. It is
// empty until the directory holds another node.
func (p *configPeers) all() []string {
	var known []string
	for _, r := range p.records() {
		if r.GetState() != pb.NodeState_NODE_STATE_GONE && r.GetControlAddress() != p.own {
			known = append(known, r.GetControlAddress())
		}
	}
	if len(known) == 0 {
		return nil
	}
	known = append(known, p.seeds...)
	slices.Sort(known)
	return slices.DeleteFunc(slices.Compact(known), func(a string) bool { return a == p.own })
}

// some returns a few peers at random.
func (p *configPeers) some() []string {
	all := p.all()
	rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return all[:min(len(all), somePeers)]
}

// newest asks all addresses for their version and returns the few with the highest.
func (p *configPeers) newest(ctx context.Context, addresses []string) []string {
	versions := make(map[string]uint64)
	var mu sync.Mutex
	p.each(addresses, func(address string) {
		ctx, cancel := context.WithTimeout(ctx, p.timeout)
		defer cancel()
		status, err := p.client.Node(address).Status(ctx, &pb.StatusRequest{NodeOnly: true})
		if err != nil {
			return
		}
		mu.Lock()
		defer mu.Unlock()
		versions[address] = status.GetNode().GetConfigVersion()
	})
	answered := slices.DeleteFunc(slices.Clone(addresses), func(a string) bool { return versions[a] == 0 })
	slices.SortStableFunc(answered, func(a, b string) int { return cmp.Compare(versions[b], versions[a]) })
	return answered[:min(len(answered), somePeers)]
}

func (p *configPeers) each(addresses []string, call func(address string)) {
	var group errgroup.Group
	group.SetLimit(parallelPeers)
	for _, address := range addresses {
		group.Go(func() error {
			call(address)
			return nil
		})
	}
	_ = group.Wait()
}

// peerHead is a head that decodes.
type peerHead struct {
	address string
	version uint64
	data    []byte
}

// heads returns the heads of peers, the highest first, without those that do not decode.
func (p *configPeers) heads(ctx context.Context, addresses []string) []peerHead {
	var heads []peerHead
	var mu sync.Mutex
	p.each(addresses, func(address string) {
		reply, err := p.get(ctx, address, nil)
		if err != nil {
			return
		}
		decoded, err := config.DecodeHead(reply.GetHead())
		if err != nil {
			return
		}
		mu.Lock()
		defer mu.Unlock()
		heads = append(heads, peerHead{address, decoded.Version, reply.GetHead()})
	})
	slices.SortStableFunc(heads, func(a, b peerHead) int { return cmp.Compare(b.version, a.version) })
	return heads
}

func (p *configPeers) get(ctx context.Context, address string, hashes []config.Hash) (*pb.GetConfigResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, p.timeout)
	defer cancel()
	request := &pb.GetConfigRequest{}
	for _, h := range hashes {
		request.PageHashes = append(request.PageHashes, string(h))
	}
	reply, err := p.client.Node(address).GetConfig(ctx, request)
	if err != nil {
		return nil, errors.Mark(err, errPeer)
	}
	return reply, nil
}

// pageSource returns those of the pages that it has.
type pageSource func(ctx context.Context, hashes []config.Hash) (map[config.Hash][]byte, error)

func (p *configPeers) sources(addresses []string) []pageSource {
	sources := make([]pageSource, len(addresses))
	for i, address := range addresses {
		sources[i] = func(ctx context.Context, hashes []config.Hash) (map[config.Hash][]byte, error) {
			reply, err := p.get(ctx, address, hashes)
			if err != nil {
				return nil, err
			}
			pages := make(map[config.Hash][]byte, len(reply.GetPages()))
			for hash, data := range reply.GetPages() {
				pages[config.Hash(hash)] = data
			}
			return pages, nil
		}
	}
	return sources
}

// fill gets the pages that a follower lacks. It resumes from the next source when one
// fails, lags or gives a damaged page, and returns the last failure, from which it may have recovered.
func fill(ctx context.Context, f *config.Follower, sources []pageSource) error {
	failed := errors.Wrap(errPeer, "no peer to ask")
	for _, source := range sources {
		for lacking := f.MissingPages(); len(lacking) > 0; lacking = f.MissingPages() {
			pages, err := source(ctx, lacking[:min(len(lacking), pagesPerCall)])
			if err == nil && len(pages) == 0 {
				err = errors.Wrapf(errPeer, "%d pages lacking", len(lacking))
			}
			for hash, data := range pages {
				err = errors.CombineErrors(err, f.OfferPage(hash, data))
			}
			if err != nil {
				failed = err
				break
			}
		}
	}
	return failed
}
