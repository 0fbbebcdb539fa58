package cli

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/jackdawlane/jackdawlane/entry"
	"github.com/jackdawlane/jackdawlane/exchange"
	"github.com/jackdawlane/jackdawlane/hop"
)

// maxExplanationBytes bounds what is read of an explanation.
const maxExplanationBytes = 1 << 20

func (a *app) explainCommand() *cobra.Command {
	var q entry.Query
	var asJSON bool
	c := &cobra.Command{
		Use:   "explain PATH",
		Short: "Show where a node would send a request now, and why, without sending it",
		Args:  exactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			if asJSON {
				a.output = "json"
			}
			q.Path = args[0]
			x, err := a.fetchExplanation(c.Context(), q)
			if err != nil {
				return err
			}
			if x.Refusal != nil && (x.Refusal.Reason == hop.ReasonNoRoute || x.Refusal.Reason == hop.ReasonNoPool) {
				return errors.Wrapf(ErrNotFound, "version %d has no route with a pool for %s %s%s of organisation %q: %s", x.Version, q.Method, q.Host, q.Path, q.Organisation, x.Refusal.Detail)
			}
			return a.print(x, []string{"WHAT", "NAME", "WHY"}, explanationRows(x))
		},
	}
	c.Flags().StringVar(&q.Organisation, "organisation", "", "name of the organisation that sends the request; empty for a request without a credential")
	c.Flags().StringVar(&q.Host, "host", "", "host of the request")
	c.Flags().StringVar(&q.Method, "method", http.MethodGet, "method of the request")
	c.Flags().BoolVar(&asJSON, "json", false, "the same as --output json")
	return c
}

// fetchExplanation asks the node.
func (a *app) fetchExplanation(ctx context.Context, q entry.Query) (entry.Explanation, error) {
	var x entry.Explanation
	address, err := netip.ParseAddrPort(a.node)
	if err != nil {
		return x, errors.Wrapf(ErrUsage, "--node %q: must be an IP address and port", a.node)
	}
	values := url.Values{"method": {q.Method}, "host": {q.Host}, "path": {q.Path}, "organisation": {q.Organisation}}
	target := url.URL{Scheme: "http", Host: address.String(), Path: entry.ExplainPath, RawQuery: values.Encode()}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, target.String(), nil)
	if err != nil {
		return x, errors.Mark(err, ErrUsage)
	}
	transport := exchange.NewTransport(exchange.DialTimeout, 0, 0)
	transport.DisableKeepAlives = true
	res, err := exchange.Client{Transport: transport}.RoundTrip(req)
	if err != nil {
		return x, errors.Wrapf(ErrNode, "%s: %v", address, errors.UnwrapAll(err))
	}
	defer res.Body.Close()
	body, err := io.ReadAll(io.LimitReader(res.Body, maxExplanationBytes))
	if err != nil {
		return x, errors.Wrapf(ErrNode, "%s: %v", address, err)
	}
	var reply struct {
		entry.Explanation
		Error string `json:"error"`
	}
	err = json.Unmarshal(body, &reply)
	switch {
	case err == nil && res.StatusCode == http.StatusBadRequest && reply.Error != "":
		return x, errors.Wrap(ErrUsage, reply.Error)
	case err == nil && res.StatusCode == http.StatusNotFound && reply.Error != "":
		return x, errors.Wrap(ErrNotFound, reply.Error)
	case err != nil || res.StatusCode != http.StatusOK || reply.Path != q.Path:
		return x, errors.Wrapf(ErrNode, "%s does not serve %s: status %d", address, entry.ExplainPath, res.StatusCode)
	}
	return reply.Explanation, nil
}

func explanationRows(x entry.Explanation) [][]string {
	rows := [][]string{{"version", fmt.Sprint(x.Version), ""}}
	add := func(what, name, why string) { rows = append(rows, []string{what, name, why}) }
	if x.Route != "" {
		add("route", x.Route, fmt.Sprintf("idempotent %t", x.Idempotent))
	}
	if x.Pool != "" {
		add("pool", x.Pool, "service "+x.Service)
	}
	if x.PermitOwner != "" {
		add("permit", x.PermitOwner, "would be asked; it may refuse")
	}
	if f := x.Refusal; f != nil {
		why := fmt.Sprintf("status %d: %s", f.Status, f.Detail)
		if f.WaitsMS > 0 {
			why += fmt.Sprintf("; waits up to %d ms before", f.WaitsMS)
		}
		if f.AfterMS > 0 {
			why += fmt.Sprintf("; next permit in %d ms", f.AfterMS)
		}
		add("refused", string(f.Reason), why)
	}
	if x.Choice != "" || x.Why != "" {
		add("first choice", cmp.Or(x.Choice, "none"), x.Why)
	}
	for _, note := range x.Notes {
		add("note", "", note)
	}
	for _, c := range x.Candidates {
		add("candidate", c.ID, candidateWhy(c))
	}
	if x.Omitted > 0 {
		add("omitted", fmt.Sprint(x.Omitted), "more candidates")
	}
	return rows
}

// candidateWhy says what a candidate is judged by.
func candidateWhy(c entry.ExplainCandidate) string {
	parts := []string{c.Condition}
	if c.Distance == "" {
		return c.Condition + ", guard " + c.Guard
	}
	if c.FailureProbability > 0 {
		parts = append(parts, fmt.Sprintf("fails with probability %.2f", c.FailureProbability))
	}
	age := "no report"
	if c.LoadAgeMS != nil {
		age = fmt.Sprintf("reported %d ms ago", *c.LoadAgeMS)
	}
	parts = append(parts, c.Distance, fmt.Sprintf("load %.2f (%s, %d in flight)", c.Load, age, c.InFlight))
	if c.BackoffMS > 0 {
		parts = append(parts, fmt.Sprintf("path in back-off for %d ms", c.BackoffMS))
	}
	if c.RoomInMS > 0 {
		parts = append(parts, fmt.Sprintf("room in %d ms", c.RoomInMS))
	}
	if c.Compared {
		parts = append(parts, "compared")
	}
	return strings.Join(append(parts, "guard "+c.Guard), ", ")
}
