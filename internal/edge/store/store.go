package store

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/joomcode/errorx"

	"github.com/boragelane/boragelane/internal/ctrl/state"
	"github.com/boragelane/boragelane/internal/edge/strict"
)

// Errors is the namespace of this package's errors.
var Errors = errorx.NewNamespace("store")

// Types of error.
var (
	// ErrUnavailable means that the platform sent no usable response; a write may have taken effect.
	ErrUnavailable = Errors.NewType("unavailable")
	// ErrResponse means that the platform's response can't be decoded.
	ErrResponse = Errors.NewType("answer")
)

// maxResponseBody is the number of bytes after which a response body is cut off.
const maxResponseBody = 4 << 20

// Client calls the platform's HTTP API.
type Client struct {
	Base  string // URL without a trailing slash.
	HTTP  *http.Client
	Calls atomic.Int64 // Number of calls made.
}

// New returns a client for the platform at a base URL.
func New(base string) *Client {
	t := http.DefaultTransport.(*http.Transport).Clone()
	t.Proxy = nil
	return &Client{Base: base, HTTP: &http.Client{Transport: t}}
}

// Value is the value of a key and the index of its last change; Data is nil if the key does not exist.
type Value struct {
	Data   []byte
	Index  uint64
	Locked bool // A session holds the key's lock.
}

type kvEntry struct {
	Value       []byte
	ModifyIndex uint64
	Session     string
}

// Get reads a key; with after set it is a blocking query that waits up to the given time for a later change.
func (c *Client) Get(ctx context.Context, key string, after uint64, wait time.Duration) (Value, error) {
	q := url.Values{"consistent": {""}}
	if after > 0 {
		q = url.Values{"index": {strconv.FormatUint(after, 10)}, "wait": {wait.String()}}
	}
	status, header, body, err := c.do(ctx, http.MethodGet, "/v1/kv/"+key, q, nil)
	if err != nil {
		return Value{}, err
	}
	if status == http.StatusNotFound {
		return Value{Index: parseIndex(header)}, nil
	}
	var list []kvEntry
	if err := json.Unmarshal(body, &list); err != nil || len(list) != 1 {
		return Value{}, ErrResponse.New("reading key %s: %d entries, %v", key, len(list), err)
	}
	return Value{Data: list[0].Value, Index: list[0].ModifyIndex, Locked: list[0].Session != ""}, nil
}

// Read reads a key without waiting; index 0 means that the key does not exist.
func (c *Client) Read(ctx context.Context, key string) ([]byte, uint64, error) {
	v, err := c.Get(ctx, key, 0, 0)
	if v.Data == nil {
		v.Index = 0
	}
	return v.Data, v.Index, err
}

func parseIndex(header http.Header) uint64 {
	n, _ := strconv.ParseUint(header.Get("X-Consul-Index"), 10, 64)
	return n
}

// CompareAndSwap writes a key if its current index equals the given one, which is 0 for a missing key; it reports whether
// it wrote.
func (c *Client) CompareAndSwap(ctx context.Context, key string, data []byte, index uint64) (bool, error) {
	q := url.Values{"cas": {strconv.FormatUint(index, 10)}}
	return c.putBool(ctx, "/v1/kv/"+key, q, data)
}

// Delete removes a key.
func (c *Client) Delete(ctx context.Context, key string) error {
	_, _, _, err := c.do(ctx, http.MethodDelete, "/v1/kv/"+key, nil, nil) //nolint:dogsled // Only the error matters.
	return err
}

// CreateSession creates a session that expires unless it is renewed within its TTL.
func (c *Client) CreateSession(ctx context.Context, name string, ttl time.Duration) (string, error) {
	body, err := json.Marshal(map[string]string{"Name": name, "TTL": ttl.String(), "Behavior": "release", "LockDelay": "0s"})
	if err != nil {
		return "", ErrResponse.Wrap(err, "encoding a session")
	}
	_, _, out, err := c.do(ctx, http.MethodPut, "/v1/session/create", nil, body)
	if err != nil {
		return "", err
	}
	var s struct{ ID string }
	if err := json.Unmarshal(out, &s); err != nil || s.ID == "" {
		return "", ErrResponse.New("opening a session: %v", err)
	}
	return s.ID, nil
}

// RenewSession renews a session; it returns false if the session no longer exists.
func (c *Client) RenewSession(ctx context.Context, session string) (bool, error) {
	status, _, _, err := c.do(ctx, http.MethodPut, "/v1/session/renew/"+session, nil, nil)
	return err == nil && status != http.StatusNotFound, err
}

// DestroySession ends a session, which releases its locks.
func (c *Client) DestroySession(ctx context.Context, session string) error {
	_, err := c.putBool(ctx, "/v1/session/destroy/"+session, nil, nil)
	return err
}

// Acquire locks a key for a session and writes the holder as its value; it reports whether the session holds the lock.
func (c *Client) Acquire(ctx context.Context, key, session, holder string) (bool, error) {
	return c.putBool(ctx, "/v1/kv/"+key, url.Values{"acquire": {session}}, []byte(holder))
}

func (c *Client) putBool(ctx context.Context, path string, q url.Values, body []byte) (bool, error) {
	status, _, out, err := c.do(ctx, http.MethodPut, path, q, body)
	if err != nil {
		return false, err
	}
	if status != http.StatusOK {
		return false, ErrUnavailable.New("PUT %s: status %d", path, status)
	}
	return string(bytes.TrimSpace(out)) == "true", nil
}

type catalogEntry struct {
	ServiceID      string
	ServiceAddress string
	ServicePort    int
	ServiceMeta    map[string]string
}

// ListUpstreams lists a failure domain's upstreams and returns the index for the next call; with after set it is a
// blocking query that waits up to the given time for a later change.
func (c *Client) ListUpstreams(ctx context.Context, domain string, after uint64, wait time.Duration) ([]state.Member, uint64, error) {
	q := url.Values{"filter": {fmt.Sprintf("ServiceMeta.domain == %q", domain)}}
	if after > 0 {
		q.Set("index", strconv.FormatUint(after, 10))
		q.Set("wait", wait.String())
	}
	status, header, body, err := c.do(ctx, http.MethodGet, "/v1/catalog/service/upstream", q, nil)
	if err != nil {
		return nil, 0, err
	}
	if status != http.StatusOK {
		return nil, 0, ErrUnavailable.New("listing upstreams: status %d", status)
	}
	var list []catalogEntry
	if err := json.Unmarshal(body, &list); err != nil {
		return nil, 0, ErrResponse.Wrap(err, "reading the list of upstreams")
	}
	out := make([]state.Member, 0, len(list))
	for _, e := range list {
		out = append(out, state.Member{
			ID: e.ServiceID, Address: fmt.Sprintf("%s:%d", e.ServiceAddress, e.ServicePort),
			Service: e.ServiceMeta["service"], Domain: domain, Leaving: e.ServiceMeta["state"] == "leaving",
		})
	}
	return out, parseIndex(header), nil
}

func (c *Client) do(ctx context.Context, method, path string, q url.Values, body []byte) (int, http.Header, []byte, error) {
	c.Calls.Add(1)
	u := c.Base + path
	if len(q) > 0 {
		u += "?" + q.Encode()
	}
	req, err := http.NewRequestWithContext(ctx, method, u, bytes.NewReader(body))
	if err != nil {
		return 0, nil, nil, ErrUnavailable.Wrap(err, "%s %s", method, path)
	}
	req.GetBody = nil // Stops net/http from sending a write twice.
	resp, err := c.HTTP.Do(req)
	if err != nil {
		return 0, nil, nil, ErrUnavailable.Wrap(err, "%s %s", method, path)
	}
	defer func() { _ = resp.Body.Close() }()
	if err := strict.Check(resp); err != nil {
		return 0, nil, nil, ErrUnavailable.Wrap(err, "%s %s", method, path)
	}
	out, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBody))
	if err != nil {
		return 0, nil, nil, ErrUnavailable.Wrap(err, "%s %s", method, path)
	}
	if resp.StatusCode >= http.StatusInternalServerError || resp.StatusCode == http.StatusTooManyRequests {
		return 0, nil, nil, ErrUnavailable.New("%s %s: status %d: %.200s", method, path, resp.StatusCode, out)
	}
	return resp.StatusCode, resp.Header, out, nil
}
