// Package objectstore is a client of the platform's object store.
package objectstore

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/jackdawlane/jackdawlane/exchange"
)

// MaxValueBytes is the size of the largest value that the store accepts.
const MaxValueBytes = 1 << 20

// maxHeadBytes bounds the head of a response.
const maxHeadBytes = 64 << 10

// maxIdleConnections allows parallel page reads to reuse their connections.
const maxIdleConnections = 16

// Object is the value of an object with its version.
type Object struct {
	Value []byte
	// ETag is the version as the store sent it, including the quotes.
	ETag string
}

// ListEntry is the key and the version of one object of a list.
type ListEntry struct {
	Key  string `json:"key"`
	ETag string `json:"etag"`
}

// Condition is the condition of a write or a deletion. The zero value always holds.
type Condition struct {
	// IfMatch is the ETag that the object must have.
	IfMatch string
	// IfNoneMatch requires that the object does not exist.
	IfNoneMatch bool
}

func (c Condition) header() http.Header {
	h := make(http.Header)
	if c.IfMatch != "" {
		h.Set("If-Match", c.IfMatch)
	}
	if c.IfNoneMatch {
		h.Set("If-None-Match", "*")
	}
	return h
}

// Client calls the object store. It is safe for concurrent use. It sets no timeouts: the
// duration of a call is limited only by the context.
type Client struct {
	address netip.AddrPort
	http    *http.Client
}

// New returns a client of the object store at an address.
func New(address netip.AddrPort) *Client {
	transport := exchange.NewTransport(0, 0, maxIdleConnections)
	transport.IdleConnTimeout = time.Minute
	transport.MaxResponseHeaderBytes = maxHeadBytes
	noRedirect := func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return &Client{address: address, http: &http.Client{Transport: exchange.Client{Transport: transport}, CheckRedirect: noRedirect}}
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Get returns the object with a key. It returns ErrNotFound if there is none.
func (c *Client) Get(ctx context.Context, key string) (Object, error) {
	res, err := c.call(ctx, http.MethodGet, key, nil, nil, nil)
	if err != nil {
		return Object{}, err
	}
	return res.object()
}

// Put writes an object and returns its new ETag. It returns ErrConflict if the condition
// does not hold, and ErrUncertain if the response is lost.
func (c *Client) Put(ctx context.Context, key string, value []byte, condition Condition) (string, error) {
	if len(value) > MaxValueBytes {
		return "", errors.Wrapf(ErrTooLarge, "%s has %d bytes, the limit is %d", key, len(value), MaxValueBytes)
	}
	res, err := c.call(ctx, http.MethodPut, key, nil, condition.header(), value)
	if err != nil {
		return "", err
	}
	if res.etag == "" {
		return "", errors.Wrapf(ErrUncertain, "response to the write of %s has no ETag", key)
	}
	return res.etag, nil
}

// Delete removes an object. It returns the errors of Put, and ErrNotFound if there is no
// object with the key.
func (c *Client) Delete(ctx context.Context, key string, condition Condition) error {
	_, err := c.call(ctx, http.MethodDelete, key, nil, condition.header(), nil)
	return err
}

// List returns the keys and ETags of the objects whose keys start with prefix, in the
// order of their keys.
func (c *Client) List(ctx context.Context, prefix string) ([]ListEntry, error) {
	res, err := c.call(ctx, http.MethodGet, "", url.Values{"prefix": {prefix}}, nil, nil)
	if err != nil {
		return nil, err
	}
	var entries []ListEntry
	if err := json.Unmarshal(res.body, &entries); err != nil {
		return nil, mark(err, ErrProtocol)
	}
	return entries, nil
}

// Watch waits until the ETag of an object differs from etag and returns the object. It
// waits at most wait, rounded down to whole seconds. With an empty etag it waits until
// the object exists. It returns false if the wait ended without a change. The context
// must not end before the wait does.
func (c *Client) Watch(ctx context.Context, key, etag string, wait time.Duration) (Object, bool, error) {
	header := make(http.Header)
	if etag != "" {
		header.Set("If-None-Match", etag)
	}
	query := url.Values{"wait": {strconv.Itoa(int(wait / time.Second))}}
	res, err := c.call(ctx, http.MethodGet, key, query, header, nil)
	if err != nil || res.status == http.StatusNotModified {
		return Object{}, false, err
	}
	object, err := res.object()
	return object, err == nil, err
}

type response struct {
	status int
	etag   string
	body   []byte
}

func (r response) object() (Object, error) {
	if len(r.body) > MaxValueBytes {
		return Object{}, ErrTooLarge
	}
	if r.etag == "" {
		return Object{}, errors.Wrap(ErrProtocol, "response with an object has no ETag")
	}
	return Object{Value: r.body, ETag: r.etag}, nil
}

func (c *Client) call(ctx context.Context, method, key string, query url.Values, header http.Header, body []byte) (response, error) {
	if err := contextError(ctx); err != nil {
		return response{}, err
	}
	u := url.URL{Scheme: "http", Host: c.address.String(), Path: "/objects/" + key, RawQuery: query.Encode()}
	req, err := http.NewRequestWithContext(ctx, method, u.String(), bytes.NewReader(body))
	if err != nil {
		return response{}, err
	}
	for name, values := range header {
		req.Header[name] = values
	}
	res, err := c.http.Do(req)
	if err != nil {
		return response{}, transportError(method, err)
	}
	defer res.Body.Close()
	return readResponse(method, res)
}

func readResponse(method string, res *http.Response) (response, error) {
	if res.StatusCode >= 300 && res.StatusCode != http.StatusNotModified {
		_, _ = io.Copy(io.Discard, io.LimitReader(res.Body, 4096))
		return response{}, statusError(method, res.StatusCode)
	}
	// The protocol does not limit the size of a list. The caller checks the size of an
	// object.
	body, err := io.ReadAll(io.LimitReader(res.Body, maxResponseBytes))
	if err != nil {
		return response{}, transportError(method, err)
	}
	return response{status: res.StatusCode, etag: strings.TrimSpace(res.Header.Get("ETag")), body: body}, nil
}

// maxResponseBytes bounds how much of a response body is read, and thereby the memory that
// one response can use.
const maxResponseBytes = 64 << 20
