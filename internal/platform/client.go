// Package platform is the HTTP client of the platform's object store.
package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
)

// Limits on a call to the platform.
const (
	callTimeout = 2 * time.Second
	// watchWait is how long the platform waits for a change before it answers a
	// watch.
	watchWait = 20 * time.Second
	// watchTimeout ends a watch on a connection that has stopped responding.
	watchTimeout = watchWait + callTimeout
	// maxResponseBytes limits the body of a response. It is large enough for a list
	// of many small objects, and for an object of the largest size in base64.
	maxResponseBytes = 64 << 20
)

// Client implements proxy.Store over HTTP. It is safe for concurrent use.
type Client struct {
	base   *url.URL
	client *http.Client
}

var _ proxy.Store = (*Client)(nil)

// NewClient returns a client of the platform at address, an http or https URL,
// and a function that closes its idle connections.
func NewClient(address string) (*Client, func(), error) {
	base, err := url.Parse(address)
	if err != nil {
		return nil, nil, fmt.Errorf("platform address: %w", err)
	}
	if base.Scheme != "http" && base.Scheme != "https" || base.Host == "" {
		return nil, nil, eris.Errorf("platform address %q: want http:// or https:// and a host", address)
	}
	transport := &http.Transport{
		MaxIdleConnsPerHost:   16,
		IdleConnTimeout:       time.Minute,
		ResponseHeaderTimeout: watchTimeout,
	}
	c := &Client{base: base, client: &http.Client{Transport: transport}}
	return c, transport.CloseIdleConnections, nil
}

// Get implements proxy.Store.
func (c *Client) Get(ctx context.Context, key proxy.Key) (proxy.Object, error) {
	var object proxy.Object
	query := url.Values{"key": {string(key)}}
	err := c.call(ctx, callTimeout, http.MethodGet, "object", query, nil, &object)
	if err != nil {
		return proxy.Object{}, fmt.Errorf("get %s: %w", key, err)
	}
	return object, nil
}

// Put implements proxy.Store.
func (c *Client) Put(ctx context.Context, key proxy.Key, value []byte, expected proxy.Version) (proxy.Version, error) {
	if len(value) > proxy.MaxObjectSize {
		return 0, fmt.Errorf("put %s: %w", key, proxy.ErrTooLarge)
	}
	var object proxy.Object
	query := url.Values{"key": {string(key)}, "expected": {formatVersion(expected)}}
	err := c.call(ctx, callTimeout, http.MethodPut, "object", query, value, &object)
	if err != nil {
		return 0, fmt.Errorf("put %s: %w", key, err)
	}
	return object.Version, nil
}

// List implements proxy.Store.
func (c *Client) List(ctx context.Context, prefix proxy.Key) ([]proxy.Object, error) {
	var objects []proxy.Object
	query := url.Values{"prefix": {string(prefix)}}
	err := c.call(ctx, callTimeout, http.MethodGet, "objects", query, nil, &objects)
	if err != nil {
		return nil, fmt.Errorf("list %s: %w", prefix, err)
	}
	return objects, nil
}

// Watch implements proxy.Store.
func (c *Client) Watch(ctx context.Context, prefix proxy.Key, after proxy.Version) ([]proxy.Object, error) {
	var objects []proxy.Object
	query := url.Values{
		"prefix": {string(prefix)},
		"after":  {formatVersion(after)},
		"wait":   {watchWait.String()},
	}
	err := c.call(ctx, watchTimeout, http.MethodGet, "watch", query, nil, &objects)
	if err != nil {
		return nil, fmt.Errorf("watch %s: %w", prefix, err)
	}
	return objects, nil
}

// call sends one request and decodes the JSON response into answer.
func (c *Client) call(
	ctx context.Context, timeout time.Duration, method, path string, query url.Values, body []byte, answer any,
) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	target := c.base.JoinPath(path)
	target.RawQuery = query.Encode()
	request, err := http.NewRequestWithContext(ctx, method, target.String(), bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("build request: %w", err)
	}
	response, err := c.client.Do(request)
	if err != nil {
		return fmt.Errorf("call platform: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	if err := statusError(response); err != nil {
		return err
	}
	if err := json.NewDecoder(io.LimitReader(response.Body, maxResponseBytes)).Decode(answer); err != nil {
		return fmt.Errorf("read platform answer: %w", err)
	}
	return nil
}

// statusError returns the error of proxy.Store that corresponds to the HTTP status, nil
// for success.
func statusError(response *http.Response) error {
	switch response.StatusCode {
	case http.StatusOK:
		return nil
	case http.StatusNotFound:
		return proxy.ErrNotFound
	case http.StatusConflict:
		return proxy.ErrConflict
	case http.StatusRequestEntityTooLarge:
		return proxy.ErrTooLarge
	default:
		return eris.Errorf("platform answered %s", response.Status)
	}
}

func formatVersion(v proxy.Version) string {
	return strconv.FormatUint(uint64(v), 10)
}
