package register

import (
	"context"
	"fmt"
	"io"
	"net/http/httptest"
	"net/netip"
	"os"
	"runtime"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"gotest.tools/v3/assert"

	pb "github.com/jackdawlane/jackdawlane/gen/jackdawlane/v1"
	"github.com/jackdawlane/jackdawlane/hop"
	"github.com/jackdawlane/jackdawlane/idempotency"
	"github.com/jackdawlane/jackdawlane/objectstore"
	"github.com/jackdawlane/jackdawlane/settings"
	store "github.com/jackdawlane/jackdawlane/standin/objectstore"
)

const (
	// targetClaims is the target number of claims per second in the whole fleet, 5 %
	// of its requests.
	targetClaims = 14_500
	// storeDelayMS is the assumed duration of one call to the store.
	storeDelayMS = 3
	measureTime  = 10 * time.Second
)

// countedStore counts the bytes that are written to a store.
type countedStore struct {
	Store
	bytes atomic.Int64
}

func (s *countedStore) Put(ctx context.Context, key string, value []byte, c objectstore.Condition) (string, error) {
	s.bytes.Add(int64(len(value)))
	return s.Store.Put(ctx, key, value, c)
}

type measurement struct {
	rate                                int
	interval                            time.Duration
	claims, writes, reads, bytes        float64 // per second
	p50, p99                            time.Duration
	loadTime                            time.Duration
	loadReads, loadSegments, notGranted int
}

// keyInShardZero returns a key of shard 0 that differs for each i.
func keyInShardZero(i int) idempotency.Key {
	for n := 0; ; n++ {
		if k := idempotency.HashKey("organisation", "route", fmt.Sprint(i, "/", n)); k.Shard() == 0 {
			return k
		}
	}
}

func newAttempt(i int) *pb.KeyAttempt {
	return &pb.KeyAttempt{
		GuardNode:        fmt.Sprintf("howrah-1-node-%04d", i%3700),
		ControlAddress:   fmt.Sprintf("10.%d.%d.17:7003", i%7, i%250),
		GuardIncarnation: 1_790_000_000_000_000_000 + uint64(i%3700),
		AttemptId:        hop.NewAttemptID(hop.GuardTime{Incarnation: 1_790_000_000_000_000_000, Age: time.Hour}),
	}
}

func newMeasuredRegister(s Store, interval time.Duration) *Register {
	return New(Config{
		Store: s, StoreTimeout: time.Second, Incarnation: uint64(time.Now().UnixNano()), Logger: log.New(io.Discard),
		Keys: settings.Keys{Retention: 10 * time.Minute, BatchInterval: interval},
	})
}

// measure sends claims to one shard at a constant rate and settles each claim as soon
// as it is decided.
func measure(t *testing.T, rate int, interval time.Duration) measurement {
	stub := store.New(0)
	stub.SetFaults(store.Faults{SlowMS: storeDelayMS})
	server := httptest.NewServer(stub)
	defer server.Close()
	counted := &countedStore{Store: objectstore.New(netip.MustParseAddrPort(server.Listener.Addr().String()))}
	g := newMeasuredRegister(counted, interval)
	defer g.Close()
	ctx := context.Background()
	claim := func(i int) *pb.ClaimKeyResponse {
		k := keyInShardZero(i)
		a := newAttempt(i)
		response, err := g.ClaimKey(ctx, &pb.ClaimKeyRequest{Key: k[:], Fingerprint: uint64(i), Attempt: a})
		assert.NilError(t, err)
		_, err = g.SettleKey(ctx, &pb.SettleKeyRequest{Key: k[:], AttemptId: a.AttemptId, Ran: true})
		assert.NilError(t, err)
		return response
	}
	claim(-1)
	before := stub.Counters()
	counted.bytes.Store(0)
	r := measurement{rate: rate, interval: interval}
	var mu sync.Mutex
	var latencies []time.Duration
	var wait sync.WaitGroup
	start := time.Now()
	count := int(measureTime.Seconds()) * rate
	for i := range count {
		due := start.Add(time.Duration(i) * time.Second / time.Duration(rate))
		time.Sleep(time.Until(due))
		wait.Go(func() {
			response := claim(i)
			latency := time.Since(due)
			mu.Lock()
			defer mu.Unlock()
			latencies = append(latencies, latency)
			if response.GetClaim() != pb.KeyClaim_KEY_CLAIM_FIRST {
				r.notGranted++
			}
		})
	}
	wait.Wait()
	seconds := time.Since(start).Seconds()
	after := stub.Counters()
	slices.Sort(latencies)
	r.p50, r.p99 = latencies[len(latencies)/2], latencies[len(latencies)*99/100]
	r.claims = float64(count) / seconds
	r.writes = float64(after.Writes-before.Writes) / seconds
	r.reads = float64(after.Reads-before.Reads) / seconds
	r.bytes = float64(counted.bytes.Load()) / seconds
	r.measureLoad(t, counted, stub)
	return r
}

// measureLoad measures how long a new owner takes to read all segments of a shard, and how
// many reads of the store it needs.
func (r *measurement) measureLoad(t *testing.T, s Store, stub *store.Server) {
	before := stub.Counters()
	r.loadSegments = int(before.Writes)
	g := newMeasuredRegister(s, r.interval)
	defer g.Close()
	start := time.Now()
	k := keyInShardZero(-2)
	_, err := g.ClaimKey(context.Background(), &pb.ClaimKeyRequest{Key: k[:], LookOnly: true})
	assert.NilError(t, err)
	r.loadTime = time.Since(start)
	r.loadReads = int(stub.Counters().Reads - before.Reads)
}

// heapPerKey returns the bytes of heap memory per key of a shard that holds n keys.
func heapPerKey(n int) float64 {
	s := idempotency.NewShard(1, time.Hour)
	heap := func() uint64 {
		// The second collection frees the objects that the first one finalised.
		runtime.GC()
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return m.HeapAlloc
	}
	before := heap()
	const batch = 100
	for i := 0; i < n; i += batch {
		segment := &pb.KeySegment{}
		for j := range batch {
			k := idempotency.HashKey("o", "r", fmt.Sprint(i+j))
			segment.Records = append(segment.Records, &pb.KeyRecord{Key: k[:], Attempt: newAttempt(i + j)})
		}
		s.HandleSegment(segment, 0)
	}
	used := heap() - before
	runtime.KeepAlive(s)
	return float64(used) / float64(n)
}

// TestMeasureKeys writes docs/measurements/keys.md when MEASURE is set.
func TestMeasureKeys(t *testing.T) {
	if os.Getenv("MEASURE") == "" {
		t.Skip("set MEASURE=1 to write docs/measurements/keys.md")
	}
	var b strings.Builder
	fmt.Fprintf(&b, "# Cost of idempotency keys\n\nWritten by `MEASURE=1 go test ./register -run TestMeasureKeys -count=1 -timeout 10m -v`.\n\n")
	fmt.Fprintf(&b, "One shard, one owner, stand-in store with %d ms for each call, %s of claims at an even rate, each settled as \"ran\" at once. Writes are segments and exclude deletions, which begin when claims expire: then one more write for each segment. The machine was shared with other work. Latency is that of the claim at its owner, from the moment it was due, without the call between entry and owner.\n\n", storeDelayMS, measureTime)
	b.WriteString("| claims/s | interval | writes/s | reads/s | bytes/s written | p50 | p99 | refused | new owner reads | in |\n|---|---|---|---|---|---|---|---|---|---|\n")
	var rows []measurement
	for _, c := range []struct {
		rate int
		ms   time.Duration
	}{{50, 200}, {150, 200}, {453, 200}, {900, 200}, {453, 100}, {453, 20}, {453, 1}} {
		r := measure(t, c.rate, c.ms*time.Millisecond)
		rows = append(rows, r)
		fmt.Fprintf(&b, "| %.0f | %s | %.1f | %.1f | %.0f | %s | %s | %d | %d (%d segments) | %s |\n",
			r.claims, r.interval, r.writes, r.reads, r.bytes, r.p50.Round(100*time.Microsecond), r.p99.Round(100*time.Microsecond),
			r.notGranted, r.loadReads, r.loadSegments, r.loadTime.Round(time.Millisecond))
	}
	b.WriteString("\n| keys in a shard | bytes of memory for each |\n|---|---|\n")
	targetKeys := int(targetClaims * idempotency.ClaimRetention(10*time.Minute).Seconds() / idempotency.Shards)
	var perKey float64
	for _, n := range []int{100_000, 200_000, 400_000, targetKeys} {
		perKey = heapPerKey(n)
		fmt.Fprintf(&b, "| %d | %.0f |\n", n, perKey)
	}
	writeFleetEstimate(&b, rows, perKey)
	assert.NilError(t, os.WriteFile("../docs/measurements/keys.md", []byte(b.String()), 0o644))
}

// writeFleetEstimate writes the figures for the whole fleet at the target rate. It
// calculates them from the measurements of one shard.
func writeFleetEstimate(b *strings.Builder, rows []measurement, perKey float64) {
	low, high := rows[0], rows[3]
	perClaim := (high.bytes - low.bytes) / (high.claims - low.claims)
	shard := rows[2]
	keep := idempotency.ClaimRetention(10 * time.Minute)
	keys := targetClaims * keep.Seconds()
	segments := shard.writes * keep.Seconds()
	fmt.Fprintf(b, "\n## At the target\n\n%d claims/s (5 %% of 290,000 requests/s), %d shards, interval %s, kept for %s. Bytes from the slope between %d and %d claims/s.\n\n| | value |\n|---|---|\n",
		targetClaims, idempotency.Shards, shard.interval, keep, low.rate, high.rate)
	row := func(name, format string, args ...any) {
		fmt.Fprintf(b, "| %s | %s |\n", name, fmt.Sprintf(format, args...))
	}
	row("store writes/s: segments", "%.0f", shard.writes*idempotency.Shards)
	row("store writes/s: deletions", "%.0f", shard.writes*idempotency.Shards)
	row("store writes/s: floors", "%.1f", float64(idempotency.Shards)/60)
	row("store reads/s", "%.0f", shard.reads*idempotency.Shards)
	row("bytes of a claim with its settlement", "%.0f", perClaim)
	row("bytes/s written", "%.1f MB", perClaim*targetClaims/1e6)
	row("bytes in the store", "%.1f GB", perClaim*keys/1e9)
	row("keys in a shard", "%.0f", keys/idempotency.Shards)
	row("memory of the owner of a shard", "%.0f MB", perKey*keys/idempotency.Shards/1e6)
	row("objects that a new owner reads", "%.0f", segments)
	row("time of that at the measured rate", "%.1f s", segments/float64(shard.loadReads)*shard.loadTime.Seconds())
	row("added latency of a claim, p50 and p99", "%s, %s", shard.p50.Round(time.Millisecond), shard.p99.Round(time.Millisecond))
}
