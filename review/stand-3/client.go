//go:build review3

package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

var lastID atomic.Int64

// newID returns the id of a client attempt.
func newID() string { return fmt.Sprintf("%016x", lastID.Add(1)) }

// newClient returns a client that keeps connections open for many requests.
func newClient() *http.Client {
	return &http.Client{Timeout: 4 * time.Second, Transport: &http.Transport{
		MaxIdleConnsPerHost: 100, IdleConnTimeout: 8 * time.Second, DisableCompression: true,
		DialContext: (&net.Dialer{Timeout: time.Second}).DialContext,
	}}
}

// send sends one attempt to an address and returns the status, or 0, and the body.
func send(ctx context.Context, c *http.Client, address, path, id string, header map[string]string) (int, string) {
	status, body, _ := exchange(ctx, c, address, path, id, header)
	return status, body
}

// exchange does the same and returns the header too.
func exchange(ctx context.Context, c *http.Client, address, path, id string, header map[string]string) (int, string, http.Header) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return 0, err.Error(), nil
	}
	req.Host = "shop.example"
	req.Header.Set("X-Boragelane-Attempt-Id", id)
	req.Header.Set("X-Boragelane-Deadline-Ms", "3000")
	for name, value := range header {
		req.Header.Set(name, value)
	}
	resp, err := c.Do(req)
	if err != nil {
		return 0, err.Error(), nil
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, err.Error(), nil
	}
	return resp.StatusCode, string(body), resp.Header
}

// directory holds the addresses that the directory named last. Like clients, it asks up to three daemons and keeps an answer while there is
// no new one.
type directory struct {
	mu        sync.Mutex
	addresses []string
}

// follow asks the machines' directories every second.
func (d *directory) follow(ctx context.Context, machines []*machine, zone string) {
	for ctx.Err() == nil {
		for _, m := range machines {
			if list := resolve(m, zone); len(list) > 0 {
				d.mu.Lock()
				d.addresses = list
				d.mu.Unlock()
				break
			}
		}
		time.Sleep(time.Second)
	}
}

// pick returns one of the addresses at random, or "".
func (d *directory) pick() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.addresses) == 0 {
		return ""
	}
	return d.addresses[rand.IntN(len(d.addresses))]
}

func resolve(m *machine, zone string) []string {
	resp, err := probe.Get("http://" + m.dir + "/resolve?name=shop.example&region=" + m.region + "&zone=" + zone)
	if err != nil {
		return nil
	}
	defer func() { _ = resp.Body.Close() }()
	var out struct {
		Addresses []string `json:"addresses"`
	}
	if resp.StatusCode != http.StatusOK || json.NewDecoder(resp.Body).Decode(&out) != nil {
		return nil
	}
	return out.Addresses
}

// every calls do at a steady rate until the context ends.
func every(ctx context.Context, perSecond float64, do func()) {
	t := time.NewTicker(time.Duration(float64(time.Second) / perSecond))
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			go do()
		}
	}
}
