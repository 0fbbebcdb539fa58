package config

import (
	"context"

	"github.com/jackdawlane/jackdawlane/organisation"
	"github.com/jackdawlane/jackdawlane/pool"
	"github.com/jackdawlane/jackdawlane/route"
)

// View reads single rows of one version, and only the pages that hold them.
// Its errors are ErrUnavailable and ErrCorrupt.
type View struct {
	head    storedHead
	history *history
}

// View returns a view of the version in force; it is empty when there is none.
func (e *Editor) View(ctx context.Context) (*View, error) {
	head, err := e.history.current(ctx)
	return &View{head: head, history: e.history}, err
}

// Version returns the version of the view, 0 when there is none.
func (v *View) Version() uint64 { return v.head.Version }

// Head returns the head of the view.
func (v *View) Head() Head { return v.head.Head }

// Route returns the route of a key; false when there is none.
func (v *View) Route(ctx context.Context, key string) (route.Route, bool, error) {
	return lookupAs[route.Route](ctx, v, Routes, key)
}

// Pool returns the pool of a name; false when there is none.
func (v *View) Pool(ctx context.Context, name string) (pool.Pool, bool, error) {
	return lookupAs[pool.Pool](ctx, v, Pools, name)
}

// Organisation returns the organisation of a name; false when there is none.
func (v *View) Organisation(ctx context.Context, name string) (organisation.Organisation, bool, error) {
	return lookupAs[organisation.Organisation](ctx, v, Organisations, name)
}

// RoutesOf returns the routes of an organisation.
func (v *View) RoutesOf(ctx context.Context, organisation string) ([]route.Route, error) {
	from, to := routeKeys(organisation)
	rows, err := v.history.scan(ctx, v.head.Head, Routes, from, to)
	return values[route.Route](rows), err
}

func lookupAs[T keyed](ctx context.Context, v *View, table Table, key string) (T, bool, error) {
	r, ok, err := v.history.lookup(ctx, v.head.Head, rowID{table, key})
	if err != nil || !ok {
		var none T
		return none, false, err
	}
	return r.value.(T), true, nil
}
