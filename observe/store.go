package observe

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/jackdawlane/jackdawlane/ejection"
	"github.com/jackdawlane/jackdawlane/objectstore"
)

// permitsPrefix followed by the name of a service is the key of its permits.
const permitsPrefix = "ejections/"

// permitStore keeps permits in the platform's object store.
type permitStore struct {
	client  *objectstore.Client
	timeout time.Duration
}

// NewPermitStore returns a store that keeps permits in the object store of client. timeout
// bounds each call.
func NewPermitStore(client *objectstore.Client, timeout time.Duration) ejection.Store {
	return permitStore{client: client, timeout: timeout}
}

// Get implements ejection.Store.
func (s permitStore) Get(ctx context.Context, service string) ([]byte, string, error) {
	ctx, cancel := context.WithTimeout(ctx, s.timeout)
	defer cancel()
	o, err := s.client.Get(ctx, permitsPrefix+service)
	if errors.Is(err, objectstore.ErrNotFound) {
		return nil, "", nil
	}
	if err != nil {
		return nil, "", errors.Mark(err, ejection.ErrUnavailable)
	}
	return o.Value, o.ETag, nil
}

// Put implements ejection.Store.
func (s permitStore) Put(ctx context.Context, service string, data []byte, version string) error {
	ctx, cancel := context.WithTimeout(ctx, s.timeout)
	defer cancel()
	condition := objectstore.Condition{IfMatch: version, IfNoneMatch: version == ""}
	_, err := s.client.Put(ctx, permitsPrefix+service, data, condition)
	switch {
	case err == nil:
		return nil
	case errors.Is(err, objectstore.ErrConflict):
		return errors.Mark(err, ejection.ErrConflict)
	case errors.Is(err, objectstore.ErrUncertain):
		return errors.Mark(err, ejection.ErrUncertain)
	}
	return errors.Mark(err, ejection.ErrUnavailable)
}
