package config

import (
	"context"

	"github.com/jackdawlane/jackdawlane/organisation"
	"github.com/jackdawlane/jackdawlane/pool"
	"github.com/jackdawlane/jackdawlane/route"
)

// VersionReader reads single rows of one version, and only the pages that hold them.
// Its errors are ErrUnavailable and ErrCorrupt.
type VersionReader struct {
	head    storedHead
	history *history
}

// Reader returns a reader of the version in force; it is empty when there is none.
func (e *Editor) Reader(ctx context.Context) (*VersionReader, error) {
	head, err := e.history.current(ctx)
	return &VersionReader{head: head, history: e.history}, err
}

// Version returns the version that is read, 0 when there is none.
func (v *VersionReader) Version() uint64 { return v.head.Version }

// Head returns the head of the version.
func (v *VersionReader) Head() Head { return v.head.Head }

// Route returns the route of a key; false when there is none.
func (v *VersionReader) Route(ctx context.Context, key string) (route.Route, bool, error) {
	return lookupAs[route.Route](ctx, v, Routes, key)
}

// Pool returns the pool of a name; false when there is none.
func (v *VersionReader) Pool(ctx context.Context, name string) (pool.Pool, bool, error) {
	return lookupAs[pool.Pool](ctx, v, Pools, name)
}

// Organisation returns the organisation of a name; false when there is none.
func (v *VersionReader) Organisation(ctx context.Context, name string) (organisation.Organisation, bool, error) {
	return lookupAs[organisation.Organisation](ctx, v, Organisations, name)
}

// RoutesOf returns the routes of an organisation.
func (v *VersionReader) RoutesOf(ctx context.Context, organisation string) ([]route.Route, error) {
	from, to := routeKeys(organisation)
	rows, err := v.history.scan(ctx, v.head.Head, Routes, from, to)
	return values[route.Route](rows), err
}

func lookupAs[T keyed](ctx context.Context, v *VersionReader, table Table, key string) (T, bool, error) {
	r, ok, err := v.history.lookup(ctx, v.head.Head, rowID{table, key})
	if err != nil || !ok {
		var none T
		return none, false, err
	}
	return r.value.(T), true, nil
}
