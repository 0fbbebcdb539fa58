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
)

// MaxValueBytes is the largest value that the store holds.
const MaxValueBytes = 1 << 20

// maxIdleConnections allows parallel page reads to reuse their connections.
const maxIdleConnections = 16

// Object is a value with its version.
type Object struct {
	Value []byte
	// ETag is the version as the store wrote it, with its quotes.
	ETag string
}

// Entry is one object of a list.
type Entry struct {
	Key  string `json:"key"`
	ETag string `json:"etag"`
}

// Condition restricts a write; the zero value writes always.
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

// Client calls the object store. It is safe for concurrent use.
// Every call is bounded by its context only.
type Client struct {
	address netip.AddrPort
	http    *http.Client
}

// New returns a client of the store at an address.
func New(address netip.AddrPort) *Client {
	transport := &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: maxIdleConnections, IdleConnTimeout: time.Minute}
	noRedirect := func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return &Client{address: address, http: &http.Client{Transport: transport, CheckRedirect: noRedirect}}
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Get returns the object of a key, or ErrNotFound.
func (c *Client) Get(ctx context.Context, key string) (Object, error) {
	a, err := c.call(ctx, http.MethodGet, key, nil, nil, nil)
	if err != nil {
		return Object{}, err
	}
	return a.object()
}

// Put writes an object and returns its ETag.
// It returns ErrConflict when the condition does not hold and ErrUncertain when the answer is lost.
func (c *Client) Put(ctx context.Context, key string, value []byte, condition Condition) (string, error) {
	if len(value) > MaxValueBytes {
		return "", errors.Wrapf(ErrTooLarge, "%s has %d bytes, the limit is %d", key, len(value), MaxValueBytes)
	}
	a, err := c.call(ctx, http.MethodPut, key, nil, condition.header(), value)
	if err != nil {
		return "", err
	}
	if a.etag == "" {
		return "", errors.Wrapf(ErrUncertain, "write of %s was answered without an ETag", key)
	}
	return a.etag, nil
}

// Delete removes an object. Errors are those of Put and ErrNotFound.
func (c *Client) Delete(ctx context.Context, key string, condition Condition) error {
	_, err := c.call(ctx, http.MethodDelete, key, nil, condition.header(), nil)
	return err
}

// List returns the objects whose keys start with prefix, in the order of their keys.
func (c *Client) List(ctx context.Context, prefix string) ([]Entry, error) {
	a, err := c.call(ctx, http.MethodGet, "", url.Values{"prefix": {prefix}}, nil, nil)
	if err != nil {
		return nil, err
	}
	var entries []Entry
	if err := json.Unmarshal(a.body, &entries); err != nil {
		return nil, mark(err, ErrProtocol)
	}
	return entries, nil
}

// Watch waits up to wait, in whole seconds, for the object to differ from etag.
// An empty etag waits for the object to exist. The context must outlast the wait. The result is false when the wait ended without a change.
func (c *Client) Watch(ctx context.Context, key, etag string, wait time.Duration) (Object, bool, error) {
	header := make(http.Header)
	if etag != "" {
		header.Set("If-None-Match", etag)
	}
	query := url.Values{"wait": {strconv.Itoa(int(wait / time.Second))}}
	a, err := c.call(ctx, http.MethodGet, key, query, header, nil)
	if err != nil || a.status == http.StatusNotModified {
		return Object{}, false, err
	}
	object, err := a.object()
	return object, err == nil, err
}

type answer struct {
	status int
	etag   string
	body   []byte
}

func (a answer) object() (Object, error) {
	if len(a.body) > MaxValueBytes {
		return Object{}, ErrTooLarge
	}
	if a.etag == "" {
		return Object{}, errors.Wrap(ErrProtocol, "object without an ETag")
	}
	return Object{Value: a.body, ETag: a.etag}, nil
}

func (c *Client) call(ctx context.Context, method, key string, query url.Values, header http.Header, body []byte) (answer, error) {
	if err := doneBeforeCall(ctx); err != nil {
		return answer{}, err
	}
	u := url.URL{Scheme: "http", Host: c.address.String(), Path: "/objects/" + key, RawQuery: query.Encode()}
	req, err := http.NewRequestWithContext(ctx, method, u.String(), bytes.NewReader(body))
	if err != nil {
		return answer{}, err
	}
	for name, values := range header {
		req.Header[name] = values
	}
	res, err := c.http.Do(req)
	if err != nil {
		return answer{}, transportError(method, err)
	}
	defer res.Body.Close()
	return read(method, res)
}

func read(method string, res *http.Response) (answer, error) {
	if res.StatusCode >= 300 && res.StatusCode != http.StatusNotModified {
		_, _ = io.Copy(io.Discard, io.LimitReader(res.Body, 4096))
		return answer{}, statusError(method, res.StatusCode)
	}
	// Lists have no size limit in the protocol; objects are checked by the caller.
	body, err := io.ReadAll(io.LimitReader(res.Body, maxListBytes))
	if err != nil {
		return answer{}, transportError(method, err)
	}
	return answer{status: res.StatusCode, etag: strings.TrimSpace(res.Header.Get("ETag")), body: body}, nil
}

// maxListBytes bounds the memory that one answer may take.
const maxListBytes = 64 << 20
