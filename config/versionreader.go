package config

import (
	"context"

	"github.com/jackdawlane/jackdawlane/organisation"
	"github.com/jackdawlane/jackdawlane/pool"
	"github.com/jackdawlane/jackdawlane/route"
)

// VersionReader reads rows of one version from the store. It reads only the pages that may hold them.
// Its errors are ErrUnavailable and ErrCorrupt.
type VersionReader struct {
	head    storedHead
	history *history
}

// Reader returns a reader of the version in force. When there is none, the reader has version 0 and no rows.
func (e *Editor) Reader(ctx context.Context) (*VersionReader, error) {
	head, err := e.history.current(ctx)
	return &VersionReader{head: head, history: e.history}, err
}

// Version returns the version that is read; 0 when there is none.
func (v *VersionReader) Version() uint64 { return v.head.Version }

// Head returns the head of the version.
func (v *VersionReader) Head() Head { return v.head.Head }

// Route returns the route with the given key; false when there is none.
func (v *VersionReader) Route(ctx context.Context, key string) (route.Route, bool, error) {
	return lookupAs[route.Route](ctx, v, Routes, key)
}

// Pool returns the pool with the given name; false when there is none.
func (v *VersionReader) Pool(ctx context.Context, name string) (pool.Pool, bool, error) {
	return lookupAs[pool.Pool](ctx, v, Pools, name)
}

// Organisation returns the organisation with the given name; false when there is none.
func (v *VersionReader) Organisation(ctx context.Context, name string) (organisation.Organisation, bool, error) {
	return lookupAs[organisation.Organisation](ctx, v, Organisations, name)
}

// OrganisationRoutes returns the routes of an organisation in the order of their keys.
func (v *VersionReader) OrganisationRoutes(ctx context.Context, organisation string) ([]route.Route, error) {
	from, to := routeKeyRange(organisation)
	rows, err := v.history.scan(ctx, v.head.Head, Routes, from, to)
	return rowValues[route.Route](rows), err
}

func lookupAs[T rowValue](ctx context.Context, v *VersionReader, table Table, key string) (T, bool, error) {
	r, ok, err := v.history.lookup(ctx, v.head.Head, rowID{table, key})
	if err != nil || !ok {
		var none T
		return none, false, err
	}
	return r.value.(T), true, nil
}
