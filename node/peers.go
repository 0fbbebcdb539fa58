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
	// pagesPerCall bounds the size of one GetConfig reply to about 4 MB.
	pagesPerCall = 128
	// maxSampledPeers is the number of further peers that a node asks for a version if the
	// peer that reported it did not supply it, and the number of peers with the highest
	// versions from which a starting node reads.
	maxSampledPeers = 8
	// parallelPeers bounds the number of peers that a node calls at the same time.
	parallelPeers = 64
)

// errPeerConfig marks a failed read of the configuration from a peer.
var errPeerConfig = errors.New("configuration not supplied by a peer")

// configPeers reads heads and pages of the configuration from other nodes.
type configPeers struct {
	ownAddress string
	seeds      []string
	timeout    time.Duration
	// records returns the records of all known nodes.
	records func() []*pb.NodeRecord
	client  *control.Client
}

// all returns the control addresses of the seeds and of all known nodes except this one.
// It returns none until another node is known.
func (p *configPeers) all() []string {
	var known []string
	for _, r := range p.records() {
		if r.GetState() != pb.NodeState_NODE_STATE_GONE && r.GetControlAddress() != p.ownAddress {
			known = append(known, r.GetControlAddress())
		}
	}
	if len(known) == 0 {
		return nil
	}
	known = append(known, p.seeds...)
	slices.Sort(known)
	return slices.DeleteFunc(slices.Compact(known), func(a string) bool { return a == p.ownAddress })
}

// sample returns the addresses of up to maxSampledPeers random peers.
func (p *configPeers) sample() []string {
	all := p.all()
	rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return all[:min(len(all), maxSampledPeers)]
}

// withHighestVersion asks the nodes at all addresses for their configuration version. It
// returns the addresses of up to maxSampledPeers nodes with the highest versions.
func (p *configPeers) withHighestVersion(ctx context.Context, addresses []string) []string {
	versions := make(map[string]uint64)
	var mu sync.Mutex
	p.forEach(addresses, func(address string) {
		ctx, cancel := context.WithTimeout(ctx, p.timeout)
		defer cancel()
		status, err := p.client.NodeClient(address).Status(ctx, &pb.StatusRequest{NodeOnly: true})
		if err != nil {
			return
		}
		mu.Lock()
		defer mu.Unlock()
		versions[address] = status.GetNode().GetConfigVersion()
	})
	answered := slices.DeleteFunc(slices.Clone(addresses), func(a string) bool { return versions[a] == 0 })
	slices.SortStableFunc(answered, func(a, b string) int { return cmp.Compare(versions[b], versions[a]) })
	return answered[:min(len(answered), maxSampledPeers)]
}

func (p *configPeers) forEach(addresses []string, call func(address string)) {
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

// peerHead is the encoded head that a peer supplied, with its version. It can be decoded.
type peerHead struct {
	address string
	version uint64
	data    []byte
}

// readHeads returns the heads of the peers at the addresses, the highest version first.
// Peers that do not answer and heads that cannot be decoded are left out.
func (p *configPeers) readHeads(ctx context.Context, addresses []string) []peerHead {
	var heads []peerHead
	var mu sync.Mutex
	p.forEach(addresses, func(address string) {
		reply, err := p.getConfig(ctx, address, nil)
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

func (p *configPeers) getConfig(ctx context.Context, address string, hashes []config.Hash) (*pb.GetConfigResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, p.timeout)
	defer cancel()
	request := &pb.GetConfigRequest{}
	for _, h := range hashes {
		request.PageHashes = append(request.PageHashes, string(h))
	}
	reply, err := p.client.NodeClient(address).GetConfig(ctx, request)
	if err != nil {
		return nil, errors.Mark(err, errPeerConfig)
	}
	return reply, nil
}

// pageSource reads pages by hash. It returns only the pages that the source has.
type pageSource func(ctx context.Context, hashes []config.Hash) (map[config.Hash][]byte, error)

func (p *configPeers) pageSources(addresses []string) []pageSource {
	sources := make([]pageSource, len(addresses))
	for i, address := range addresses {
		sources[i] = func(ctx context.Context, hashes []config.Hash) (map[config.Hash][]byte, error) {
			reply, err := p.getConfig(ctx, address, hashes)
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

// fetchPages reads the pages that a follower is missing. When a source fails, lacks the
// pages or supplies a damaged page, it continues with the next source. The caller must
// check the version in force to learn whether all pages were read: the returned error is
// never nil. It is the last failure, even if later sources supplied all pages, or "no
// peer was asked" if no source failed.
func fetchPages(ctx context.Context, f *config.Follower, sources []pageSource) error {
	lastErr := errors.Wrap(errPeerConfig, "no peer was asked")
	for _, source := range sources {
		for missing := f.MissingPages(); len(missing) > 0; missing = f.MissingPages() {
			pages, err := source(ctx, missing[:min(len(missing), pagesPerCall)])
			if err == nil && len(pages) == 0 {
				err = errors.Wrapf(errPeerConfig, "%d pages are missing", len(missing))
			}
			for hash, data := range pages {
				err = errors.CombineErrors(err, f.OfferPage(hash, data))
			}
			if err != nil {
				lastErr = err
				break
			}
		}
	}
	return lastErr
}
