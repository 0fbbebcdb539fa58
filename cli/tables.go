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
	c.AddCommand(
		a.listCommand(func(s *config.Snapshot) error { return a.printRoutes(s.Routes()) }),
		a.showCommand("ORGANISATION/NAME", func(s *config.Snapshot, key string) error {
			r, err := findRoute(s, key)
			if err != nil {
				return err
			}
			return a.printRoutes([]route.Route{r})
		}),
		a.routeWriteCommand("add", false),
		a.routeWriteCommand("edit", true),
		a.removeCommand("ORGANISATION/NAME", func(key string) config.Deletes { return config.Deletes{Routes: []string{key}} },
			func(s *config.Snapshot, key string) error { _, err := findRoute(s, key); return err }),
	)
	return c
}

func findRoute(s *config.Snapshot, key string) (route.Route, error) {
	for _, r := range s.Routes() {
		if r.Key() == key {
			return r, nil
		}
	}
	return route.Route{}, errors.Wrapf(ErrNotFound, "route %s", key)
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

// routeWriteCommand adds a route, or edits the fields of one whose flags are given.
func (a *app) routeWriteCommand(use string, exists bool) *cobra.Command {
	var given route.Route
	c := &cobra.Command{Use: use + " ORGANISATION/NAME", Short: use + " a route", Args: exactArgs(1)}
	f := c.Flags()
	f.StringVar(&given.Host, "host", "", "host to match; empty matches all")
	f.StringVar(&given.PathPrefix, "prefix", "/", "path prefix to match")
	f.StringSliceVar(&given.Methods, "method", nil, "methods to match; none matches all")
	f.StringVar(&given.Pool, "pool", "", "pool that serves the requests")
	f.BoolVar(&given.Idempotent, "idempotent", false, "the work may run more than once")
	f.Int64Var(&given.TimeoutMS, "timeout-ms", 0, "time a request may take, in milliseconds; 0 means "+route.DefaultTimeout.String())
	c.RunE = func(c *cobra.Command, args []string) error {
		organisationName, name, ok := strings.Cut(args[0], "/")
		if !ok {
			return errors.Wrapf(ErrUsage, "%q: want ORGANISATION/NAME", args[0])
		}
		return a.write(c.Context(), exists, func(s *config.Snapshot) (config.Upserts, error) {
			r, err := findRoute(s, args[0])
			if err := checkExists("route "+args[0], err == nil, exists); err != nil {
				return config.Upserts{}, err
			}
			r.Organisation, r.Name = organisationName, name
			set := func(flag string, copy func()) {
				if !exists || c.Flags().Changed(flag) {
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

func checkExists(what string, found, want bool) error {
	if found && !want {
		return errors.Wrapf(ErrUsage, "%s exists already; use edit", what)
	}
	if !found && want {
		return errors.Wrap(ErrNotFound, what)
	}
	return nil
}

// write commits the rows that edit makes from the version in force.
// A change of the same rows since that version is a conflict.
func (a *app) write(ctx context.Context, based bool, edit func(*config.Snapshot) (config.Upserts, error)) error {
	s, _, err := a.snapshot(ctx)
	if err != nil {
		return err
	}
	upsert, err := edit(s)
	if err != nil {
		return err
	}
	change := config.Change{Upsert: upsert}
	if based {
		change.Base = s.Version()
	}
	return a.commit(ctx, change, false)
}

func (a *app) poolCommand() *cobra.Command {
	c := &cobra.Command{Use: "pool", Short: "List, show, add, edit and remove pools"}
	c.AddCommand(
		a.listCommand(func(s *config.Snapshot) error { return a.printPools(s.Pools()) }),
		a.showCommand("NAME", func(s *config.Snapshot, name string) error {
			p, ok := s.Pool(name)
			if !ok {
				return errors.Wrapf(ErrNotFound, "pool %s", name)
			}
			return a.printPools([]pool.Pool{p})
		}),
		a.poolWriteCommand("add", false),
		a.poolWriteCommand("edit", true),
		a.removeCommand("NAME", func(name string) config.Deletes { return config.Deletes{Pools: []string{name}} },
			func(s *config.Snapshot, name string) error {
				_, ok := s.Pool(name)
				return checkExists("pool "+name, ok, true)
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

func (a *app) poolWriteCommand(use string, exists bool) *cobra.Command {
	var given pool.Pool
	c := &cobra.Command{Use: use + " NAME", Short: use + " a pool", Args: exactArgs(1)}
	f := c.Flags()
	f.StringVar(&given.Service, "service", "", "service that the backend servers announce")
	f.StringSliceVar(&given.Regions, "region", nil, "regions whose backend servers serve; none means all")
	f.IntVar(&given.Floor, "floor", 0, "backend servers of the service that ejection leaves in place")
	f.StringVar(&given.AnnounceSecretSHA256, "announce-secret-sha256", "", "hash of the secret of announcements, see the command hash")
	c.RunE = func(c *cobra.Command, args []string) error {
		return a.write(c.Context(), exists, func(s *config.Snapshot) (config.Upserts, error) {
			p, ok := s.Pool(args[0])
			if err := checkExists("pool "+args[0], ok, exists); err != nil {
				return config.Upserts{}, err
			}
			p.Name = args[0]
			set := func(flag string, copy func()) {
				if !exists || c.Flags().Changed(flag) {
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
	var hash string
	add := &cobra.Command{
		Use: "add NAME", Short: "add an organisation", Args: exactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			return a.write(c.Context(), false, func(s *config.Snapshot) (config.Upserts, error) {
				_, ok := s.Organisation(args[0])
				if err := checkExists("organisation "+args[0], ok, false); err != nil {
					return config.Upserts{}, err
				}
				o := organisation.Organisation{Name: args[0], SecretSHA256: hash}
				return config.Upserts{Organisations: []organisation.Organisation{o}}, nil
			})
		},
	}
	add.Flags().StringVar(&hash, "secret-sha256", "", "hash of the organisation's secret, see the command hash")
	c := &cobra.Command{Use: "organisation", Short: "Add and remove organisations"}
	c.AddCommand(add, a.removeCommand("NAME",
		func(name string) config.Deletes { return config.Deletes{Organisations: []string{name}} },
		func(s *config.Snapshot, name string) error {
			_, ok := s.Organisation(name)
			return checkExists("organisation "+name, ok, true)
		}))
	return c
}

func (a *app) listCommand(print func(*config.Snapshot) error) *cobra.Command {
	return &cobra.Command{
		Use: "list", Short: "List all rows in force", Args: exactArgs(0),
		RunE: func(c *cobra.Command, _ []string) error {
			s, _, err := a.snapshot(c.Context())
			if err != nil {
				return err
			}
			return print(s)
		},
	}
}

func (a *app) showCommand(key string, print func(*config.Snapshot, string) error) *cobra.Command {
	return &cobra.Command{
		Use: "show " + key, Short: "Show one row", Args: exactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			s, _, err := a.snapshot(c.Context())
			if err != nil {
				return err
			}
			return print(s, args[0])
		},
	}
}

func (a *app) removeCommand(key string, remove func(string) config.Deletes, check func(*config.Snapshot, string) error) *cobra.Command {
	return &cobra.Command{
		Use: "remove " + key, Short: "Remove one row", Args: exactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			s, _, err := a.snapshot(c.Context())
			if err != nil {
				return err
			}
			if err := check(s, args[0]); err != nil {
				return err
			}
			return a.commit(c.Context(), config.Change{Base: s.Version(), Delete: remove(args[0])}, false)
		},
	}
}
