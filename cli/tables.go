package cli

import (
	"context"
	"fmt"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/jackdawlane/jackdawlane/config"
	"github.com/jackdawlane/jackdawlane/organisation"
	"github.com/jackdawlane/jackdawlane/pool"
	"github.com/jackdawlane/jackdawlane/route"
)

func (a *app) routeCommand() *cobra.Command {
	c := &cobra.Command{Use: "route", Short: "List, show, add, edit and remove routes"}
	acceptOnlySubcommands(c)
	c.AddCommand(
		a.listCommand(func(s *config.Snapshot) error { return a.printRoutes(s.Routes()) }),
		a.showCommand("ORGANISATION/NAME", func(ctx context.Context, v *config.VersionReader, key string) error {
			r, ok, err := v.Route(ctx, key)
			if err := checkLookup("route "+key, ok, err, true); err != nil {
				return err
			}
			return a.printRoutes([]route.Route{r})
		}),
		a.routeWriteCommand("add", false),
		a.routeWriteCommand("edit", true),
		a.removeCommand("ORGANISATION/NAME", func(key string) config.Deletes { return config.Deletes{Routes: []string{key}} },
			func(ctx context.Context, v *config.VersionReader, key string) error {
				_, ok, err := v.Route(ctx, key)
				return checkLookup("route "+key, ok, err, true)
			}),
	)
	return c
}

func (a *app) printRoutes(routes []route.Route) error {
	var rows [][]string
	for _, r := range routes {
		rows = append(rows, []string{r.Key(), orAny(r.Host), r.PathPrefix, orAny(strings.Join(r.Methods, ",")), r.Pool, fmt.Sprint(r.Idempotent), r.Timeout().String()})
	}
	return a.print(routes, []string{"ROUTE", "HOST", "PREFIX", "METHODS", "POOL", "IDEMPOTENT", "TIMEOUT"}, rows)
}

func orAny(s string) string {
	if s == "" {
		return "any"
	}
	return s
}

// routeWriteCommand returns the command that adds a route or, with mustExist, the one that edits
// those fields of an existing route whose flags are given.
func (a *app) routeWriteCommand(use string, mustExist bool) *cobra.Command {
	var given route.Route
	c := &cobra.Command{Use: use + " ORGANISATION/NAME", Short: use + " a route", Args: exactArgs(1)}
	f := c.Flags()
	f.StringVar(&given.Host, "host", "", "host to match; an empty host matches every host")
	f.StringVar(&given.PathPrefix, "prefix", "/", "path prefix to match")
	f.StringSliceVar(&given.Methods, "method", nil, "methods to match; an empty list matches every method")
	f.StringVar(&given.Pool, "pool", "", "pool that serves the requests")
	f.BoolVar(&given.Idempotent, "idempotent", false, "whether the work may run more than once")
	f.Int64Var(&given.TimeoutMS, "timeout-ms", 0, "time limit of a request, in milliseconds; 0 means "+route.DefaultTimeout.String())
	c.RunE = func(c *cobra.Command, args []string) error {
		organisationName, name, ok := strings.Cut(args[0], "/")
		if !ok {
			return errors.Wrapf(ErrUsage, "%q: must have the form ORGANISATION/NAME", args[0])
		}
		return a.upsert(c.Context(), mustExist, func(ctx context.Context, v *config.VersionReader) (config.Upserts, error) {
			r, ok, err := v.Route(ctx, args[0])
			if err := checkLookup("route "+args[0], ok, err, mustExist); err != nil {
				return config.Upserts{}, err
			}
			r.Organisation, r.Name = organisationName, name
			set := func(flag string, copy func()) {
				if !mustExist || c.Flags().Changed(flag) {
					copy()
				}
			}
			set("host", func() { r.Host = given.Host })
			set("prefix", func() { r.PathPrefix = given.PathPrefix })
			set("method", func() { r.Methods = given.Methods })
			set("pool", func() { r.Pool = given.Pool })
			set("idempotent", func() { r.Idempotent = given.Idempotent })
			set("timeout-ms", func() { r.TimeoutMS = given.TimeoutMS })
			return config.Upserts{Routes: []route.Route{r}}, nil
		})
	}
	return c
}

// checkLookup checks the result of the lookup of a row. It returns err if err is not nil,
// ErrNotFound if the row must exist but does not, and ErrUsage if it must not exist but does.
func checkLookup(what string, found bool, err error, mustExist bool) error {
	if err != nil {
		return err
	}
	if found && !mustExist {
		return errors.Wrapf(ErrUsage, "%s already exists; use the edit command to change a route or pool", what)
	}
	if !found && mustExist {
		return errors.Wrap(ErrNotFound, what)
	}
	return nil
}

// upsert commits the rows that makeRows derives from the version in force. With checkConflict,
// a change that another operator made to the same rows since that version is a conflict.
func (a *app) upsert(ctx context.Context, checkConflict bool, makeRows func(context.Context, *config.VersionReader) (config.Upserts, error)) error {
	if done, err := a.alreadyApplied(ctx); done || err != nil {
		return err
	}
	v, err := a.reader(ctx)
	if err != nil {
		return err
	}
	upsert, err := makeRows(ctx, v)
	if err != nil {
		return err
	}
	change := config.Change{Upsert: upsert}
	if checkConflict {
		change.Base = v.Version()
	}
	return a.commit(ctx, change, false)
}

func (a *app) poolCommand() *cobra.Command {
	c := &cobra.Command{Use: "pool", Short: "List, show, add, edit and remove pools"}
	acceptOnlySubcommands(c)
	c.AddCommand(
		a.listCommand(func(s *config.Snapshot) error { return a.printPools(s.Pools()) }),
		a.showCommand("NAME", func(ctx context.Context, v *config.VersionReader, name string) error {
			p, ok, err := v.Pool(ctx, name)
			if err := checkLookup("pool "+name, ok, err, true); err != nil {
				return err
			}
			return a.printPools([]pool.Pool{p})
		}),
		a.poolWriteCommand("add", false),
		a.poolWriteCommand("edit", true),
		a.removeCommand("NAME", func(name string) config.Deletes { return config.Deletes{Pools: []string{name}} },
			func(ctx context.Context, v *config.VersionReader, name string) error {
				_, ok, err := v.Pool(ctx, name)
				return checkLookup("pool "+name, ok, err, true)
			}),
	)
	return c
}

func (a *app) printPools(pools []pool.Pool) error {
	var rows [][]string
	for _, p := range pools {
		rows = append(rows, []string{p.Name, p.Service, orAny(strings.Join(p.Regions, ",")), fmt.Sprint(p.Floor)})
	}
	return a.print(pools, []string{"POOL", "SERVICE", "REGIONS", "FLOOR"}, rows)
}

// poolWriteCommand does for pools what routeWriteCommand does for routes.
func (a *app) poolWriteCommand(use string, mustExist bool) *cobra.Command {
	var given pool.Pool
	c := &cobra.Command{Use: use + " NAME", Short: use + " a pool", Args: exactArgs(1)}
	f := c.Flags()
	f.StringVar(&given.Service, "service", "", "service name that the backend servers announce")
	f.StringSliceVar(&given.Regions, "region", nil, "regions whose backend servers may serve the pool; an empty list allows all regions")
	f.IntVar(&given.Floor, "floor", 0, "number of ready backend servers of the service that ejections must leave")
	f.TextVar(&given.AnnounceSecretSHA256, "announce-secret-sha256", organisation.Hash{}, "SHA-256 of the secret that backend servers announce with; the command hash prints it")
	c.RunE = func(c *cobra.Command, args []string) error {
		return a.upsert(c.Context(), mustExist, func(ctx context.Context, v *config.VersionReader) (config.Upserts, error) {
			p, ok, err := v.Pool(ctx, args[0])
			if err := checkLookup("pool "+args[0], ok, err, mustExist); err != nil {
				return config.Upserts{}, err
			}
			p.Name = args[0]
			set := func(flag string, copy func()) {
				if !mustExist || c.Flags().Changed(flag) {
					copy()
				}
			}
			set("service", func() { p.Service = given.Service })
			set("region", func() { p.Regions = given.Regions })
			set("floor", func() { p.Floor = given.Floor })
			set("announce-secret-sha256", func() { p.AnnounceSecretSHA256 = given.AnnounceSecretSHA256 })
			return config.Upserts{Pools: []pool.Pool{p}}, nil
		})
	}
	return c
}

func (a *app) organisationCommand() *cobra.Command {
	var hash organisation.Hash
	add := &cobra.Command{
		Use: "add NAME", Short: "add an organisation", Args: exactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			return a.upsert(c.Context(), false, func(ctx context.Context, v *config.VersionReader) (config.Upserts, error) {
				_, ok, err := v.Organisation(ctx, args[0])
				if err := checkLookup("organisation "+args[0], ok, err, false); err != nil {
					return config.Upserts{}, err
				}
				o := organisation.Organisation{Name: args[0], SecretSHA256: hash}
				return config.Upserts{Organisations: []organisation.Organisation{o}}, nil
			})
		},
	}
	add.Flags().TextVar(&hash, "secret-sha256", organisation.Hash{}, "SHA-256 of the organisation's secret; the command hash prints it")
	c := &cobra.Command{Use: "organisation", Short: "Add and remove organisations"}
	acceptOnlySubcommands(c)
	c.AddCommand(add, a.removeCommand("NAME",
		func(name string) config.Deletes { return config.Deletes{Organisations: []string{name}} },
		func(ctx context.Context, v *config.VersionReader, name string) error {
			_, ok, err := v.Organisation(ctx, name)
			return checkLookup("organisation "+name, ok, err, true)
		}))
	return c
}

func (a *app) listCommand(print func(*config.Snapshot) error) *cobra.Command {
	return &cobra.Command{
		Use: "list", Short: "List all rows of the version in force", Args: exactArgs(0),
		RunE: func(c *cobra.Command, _ []string) error {
			s, err := a.snapshot(c.Context())
			if err != nil {
				return err
			}
			return print(s)
		},
	}
}

func (a *app) showCommand(key string, print func(context.Context, *config.VersionReader, string) error) *cobra.Command {
	return &cobra.Command{
		Use: "show " + key, Short: "Show one row of the version in force", Args: exactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			v, err := a.reader(c.Context())
			if err != nil {
				return err
			}
			return print(c.Context(), v, args[0])
		},
	}
}

func (a *app) removeCommand(key string, remove func(string) config.Deletes, check func(context.Context, *config.VersionReader, string) error) *cobra.Command {
	return &cobra.Command{
		Use: "remove " + key, Short: "Remove one row", Args: exactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			if done, err := a.alreadyApplied(c.Context()); done || err != nil {
				return err
			}
			v, err := a.reader(c.Context())
			if err != nil {
				return err
			}
			if err := check(c.Context(), v, args[0]); err != nil {
				return err
			}
			return a.commit(c.Context(), config.Change{Base: v.Version(), Delete: remove(args[0])}, false)
		},
	}
}
