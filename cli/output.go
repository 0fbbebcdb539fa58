package cli

import (
	"encoding/json"
	"fmt"
	"strings"
	"text/tabwriter"

	"github.com/jackdawlane/jackdawlane/config"
)

// print writes value as JSON if --output is json, otherwise rows as a table with a header line.
func (a *app) print(value any, header []string, rows [][]string) error {
	if a.output == "json" {
		encoder := json.NewEncoder(a.out)
		encoder.SetIndent("", "  ")
		return encoder.Encode(value)
	}
	w := tabwriter.NewWriter(a.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, strings.Join(header, "\t"))
	for _, row := range rows {
		fmt.Fprintln(w, strings.Join(row, "\t"))
	}
	return w.Flush()
}

func (a *app) printVersion(version uint64) error {
	if a.output == "json" {
		return json.NewEncoder(a.out).Encode(map[string]uint64{"version": version})
	}
	_, err := fmt.Fprintf(a.out, "version %d\n", version)
	return err
}

func (a *app) printDiff(diff config.Diff) error {
	var rows [][]string
	for _, c := range diff {
		rows = append(rows, []string{action(c), string(c.Table), c.Key, string(c.Before), string(c.After)})
	}
	return a.print(diff, []string{"CHANGE", "TABLE", "KEY", "BEFORE", "AFTER"}, rows)
}

func action(c config.RowChange) string {
	switch {
	case c.Before == nil:
		return "add"
	case c.After == nil:
		return "remove"
	}
	return "edit"
}
