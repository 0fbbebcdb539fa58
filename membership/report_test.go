package membership

import (
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	pb "github.com/jackdawlane/jackdawlane/gen/jackdawlane/v1"
)

// TestMeasureFull writes docs/measurements/membership.md if MEASURE is set. Its
// largest fleet takes minutes and several GB.
func TestMeasureFull(t *testing.T) {
	if os.Getenv("MEASURE") == "" {
		t.Skip("set MEASURE=1 to write docs/measurements/membership.md")
	}
	var ms []measurement
	for _, nodes := range []int{203, 399, 798, targetNodes} {
		start := time.Now()
		ms = append(ms, measure(t, nodes, 10, 3))
		t.Logf("%d nodes took %s", nodes, time.Since(start))
	}
	var b strings.Builder
	writeHead(&b)
	for _, m := range ms {
		m.writeLoads(&b)
	}
	writeTimes(&b, ms)
	outages := measureOutagesAt(t, 399)
	outages.writeOutages(&b)
	writeTarget(&b)
	assert.NilError(t, os.WriteFile("../docs/measurements/membership.md", []byte(b.String()), 0o644))
}

func measureOutagesAt(t *testing.T, nodes int) measurement {
	s := newSimulation(uint64(nodes), targetDataCentres, nodes/targetDataCentres)
	assert.Assert(t, s.converge(healTime) >= 0, s.difference())
	s.run(15)
	s.measured = true
	s.onExchange = s.countExchange
	s.reset()
	s.run(20)
	m := measurement{nodes: len(s.nodes), steadyLoads: s.loads(20)}
	m.measureOutages(t, s)
	return m
}

func writeHead(b *strings.Builder) {
	fmt.Fprintf(b, "# Cost of membership\n\nWritten by `MEASURE=1 go test ./membership -run TestMeasureFull -timeout 40m -v`.\n\n")
	fmt.Fprintf(b, "In-memory node tables in %d data centres exchange encoded messages in virtual time, with no latency. ", targetDataCentres)
	fmt.Fprintf(b, "Each node has 10 backend servers, each new one 10 or 11. Bytes are those sent and received by a node; ")
	fmt.Fprintf(b, "they include gzip from %d B and an estimate of %d B for HTTP/2, TCP and IP headers of a call. ", compressedFrom, callOverhead)
	fmt.Fprintf(b, "The records compress better than real ones, because their services and addresses repeat. ")
	fmt.Fprintf(b, "Calls are counted in both directions. The processor time adds %.0f µs of HTTP at each end of a call to the measured time of the node table. ", 1e6*httpCPU)
	fmt.Fprintf(b, "The largest size is the target's own, so nothing is extrapolated but the backend servers: %d instead of %d.\n\n", 10*targetNodes, targetBackends)
	fmt.Fprintf(b, "The column \"with churn\" adds %.4f replacements a second, which is the ordinary day of 4,000 replaced and 100 failed nodes at the target size. ", targetReplacements)
	fmt.Fprintf(b, "Loads are of 10 s, so the worst node is one that compares digests in just these seconds. ")
	fmt.Fprintf(b, "Limits for all control of a node: %d B/s and %.1f %% of a core.\n", budgetBytes, 100*budgetCore)
}

func (m measurement) writeLoads(b *strings.Builder) {
	fmt.Fprintf(b, "\n## Load at %d nodes\n\n", m.nodes)
	fmt.Fprintf(b, "| role | nodes | calls/s, mean | calls/s, worst node | B/s, mean | B/s, worst node | bytes of one replacement | B/s with churn, worst node | %% of a core, mean | %% of a core, worst node |\n")
	fmt.Fprintf(b, "|---|---|---|---|---|---|---|---|---|---|\n")
	for _, role := range roles {
		l := m.steadyLoads[role]
		if l.nodes == 0 {
			continue
		}
		churn := m.replacementLoads[role].bytes * targetReplacements * max(1, l.worstCalls/l.calls)
		mean, most := 100*(l.busy+l.calls*httpCPU), 100*(l.busy+l.worstCalls*httpCPU)
		fmt.Fprintf(b, "| %s | %d | %.1f | %.1f | %.0f | %.0f | %.0f | %.0f (%s) | %.3f | %.3f (%s) |\n", role, l.nodes, l.calls, l.worstCalls,
			l.bytes, l.worstBytes, m.replacementLoads[role].bytes, l.worstBytes+churn, budgetResult(l.worstBytes+churn, budgetBytes), mean, most, budgetResult(most, 100*budgetCore))
	}
}

func writeTimes(b *strings.Builder, ms []measurement) {
	fmt.Fprintf(b, "\n## Times\n\nMedian and worst of three events each, in seconds until the last node knows. A configuration version is taken to need %s at each node to be fetched.\n\n|", fetchTime)
	rows := []struct {
		name  string
		value func(measurement) string
	}{
		{"change of a leaf known everywhere", func(m measurement) string { return medianWorst(m.changeTimes) }},
		{"dead leaf marked gone everywhere", func(m measurement) string { return medianWorst(m.goneTimes) }},
		{"dead first relay marked gone everywhere", func(m measurement) string { return fmt.Sprintf("%.1f", m.relayGoneTime.Seconds()) }},
		{"configuration version in force, from relays to all", func(m measurement) string { return medianWorst(m.configTimes) }},
		{"bytes of joining at the new node", func(m measurement) string { return fmt.Sprintf("%.0f", m.joinBytes) }},
	}
	for _, m := range ms {
		fmt.Fprintf(b, " | %d nodes", m.nodes)
	}
	fmt.Fprintf(b, " |\n|---%s|\n", strings.Repeat("|---", len(ms)))
	for _, r := range rows {
		fmt.Fprintf(b, "| %s", r.name)
		for _, m := range ms {
			fmt.Fprintf(b, " | %s", r.value(m))
		}
		fmt.Fprintf(b, " |\n")
	}
}

func medianWorst(ds []time.Duration) string {
	return fmt.Sprintf("%.1f / %.1f", median(ds).Seconds(), worst(ds).Seconds())
}

func (m measurement) writeOutages(b *strings.Builder) {
	fmt.Fprintf(b, "\n## Outages, at %d nodes\n\n", m.nodes)
	fmt.Fprintf(b, "A data centre is cut off for %d s: the last node knows after %.1f s, and %.1f s after the cut ends all agree again. ",
		outageSeconds, m.lossTime.Seconds(), m.returnTime.Seconds())
	fmt.Fprintf(b, "Two regions of 4 and 3 data centres are apart for %d s, in which %d nodes are replaced; %.1f s after the cut ends all agree again. ",
		m.partitionSeconds, m.replacedInPartition, m.reconnectTime.Seconds())
	fmt.Fprintf(b, "Bytes are per node and beyond the steady ones, means; those after a cut are of the time until all agree and 15 s more. Calls without a reply count nothing, so a relay that loses its peers shows less than before.\n\n")
	fmt.Fprintf(b, "| role | data centre lost, bytes | after its return | regions apart, bytes | after they meet |\n|---|---|---|---|---|\n")
	for _, role := range roles {
		if m.steadyLoads[role].nodes > 0 {
			fmt.Fprintf(b, "| %s | %.0f | %.0f | %.0f | %.0f |\n", role, m.lossBytes[role].bytes, m.returnBytes[role].bytes,
				m.partitionBytes[role].bytes, m.reconnectBytes[role].bytes)
		}
	}
}

// writeTarget measures one node table of the target size.
func writeTarget(b *strings.Builder) {
	table, memory := targetNodeTable()
	const times = 20
	tick := timeOf(times, func(i int) { table.Tick(time.Duration(i) * time.Millisecond) })
	tree := timeOf(times, func(int) {
		table.tree.stale = true
		table.updateTree()
	})
	digest := timeOf(times, func(int) { table.digest(table.bucketCount()) })
	table.View()
	table.Records()
	view := timeOf(times, func(i int) {
		r := table.entries["node-00007"].record
		table.store(0, &pb.NodeRecord{NodeId: r.NodeId, Sequence: uint64(i), State: r.State, BackendServers: r.BackendServers}, "")
		table.View()
		table.Records()
	})
	fmt.Fprintf(b, "\n## One node table of %d nodes and %d backend servers\n\n", targetNodes, targetBackends)
	fmt.Fprintf(b, "| | |\n|---|---|\n| memory of node table and view | %.1f MB, limit %d MB |\n", float64(memory)/(1<<20), budgetMemory>>20)
	fmt.Fprintf(b, "| a round without calls | %s |\n| order and parents after a node came or went | %s |\n", tick, tree)
	fmt.Fprintf(b, "| a digest | %s |\n| view and list of records after a change of one node | %s |\n", digest, view)
}

func timeOf(times int, work func(i int)) time.Duration {
	start := time.Now()
	for i := range times {
		work(i)
	}
	return (time.Since(start) / time.Duration(times)).Round(time.Microsecond)
}

func budgetResult(value, budget float64) string {
	if value > budget {
		return "**missed**"
	}
	return "met"
}
