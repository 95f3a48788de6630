package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// resolve asks a directory for the addresses of the hosts.
func resolve(directory, name, region, zone string) ([]string, time.Duration, error) {
	c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	q := url.Values{"name": {name}, "region": {region}, "zone": {zone}}
	resp, err := c.Get("http://" + directory + "/resolve?" + q.Encode())
	if err != nil {
		return nil, 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	var out struct {
		Addresses []string `json:"addresses"`
		TTL       float64  `json:"ttl_s"`
	}
	if err := json.NewDecoder(resp.Body).Decode(&out); err != nil {
		return nil, 0, err
	}
	if len(out.Addresses) == 0 {
		return nil, 0, errors.New("no addresses")
	}
	return out.Addresses, time.Duration(min(5, out.TTL) * float64(time.Second)), nil
}

var lastID atomic.Int64

func newID() string { return fmt.Sprintf("%08x%08x", uint32(os.Getpid()), uint32(lastID.Add(1))) }

// call is a request to be sent.
type call struct {
	method, host, path string
	deadline           time.Duration
	body               io.Reader
	size               int64
}

func (c *call) head(id string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Boragelane-Attempt-Id: %s\r\nX-Boragelane-Deadline-Ms: %d\r\n", c.method, c.path, c.host, id, c.deadline.Milliseconds())
	if c.size > 0 {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", c.size)
	}
	b.WriteString("\r\n")
	return b.String()
}

// readAnswer reads one response; it returns whether the connection may be used again.
func readAnswer(reader *bufio.Reader, id string) (int, string, bool, time.Duration) {
	resp, err := http.ReadResponse(reader, nil)
	if err != nil {
		return 0, "connection ended without an answer: " + short(err), false, 0
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, "answer cut off: " + short(err), false, 0
	}
	if echo := resp.Header.Get("X-Boragelane-Attempt-Id"); echo != "" && echo != id {
		return 0, "MIXED: got the answer of " + echo, false, 0
	}
	if resp.StatusCode < 300 && (resp.Header.Get("X-Boragelane-Response-Signature") != sign(id) || string(body) != "body of "+id) {
		return 0, "MIXED: a success without the backend's bytes", false, 0
	}
	pause, _ := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
	return resp.StatusCode, "answered", !resp.Close, time.Duration(pause * float64(time.Second))
}

func short(err error) string {
	var op *net.OpError
	if errors.As(err, &op) {
		return op.Op + ": " + op.Err.Error()
	}
	return err.Error()
}

// one sends one request on a connection of its own and waits for its end.
func one(r *record, address string, c call) (string, int) {
	id := newID()
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		r.note("no connection to %s: %s", address, short(err))
		return id, 0
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(c.deadline + 2*time.Second))
	r.sent(id, c.method+" "+c.path+" to "+address, c.deadline)
	_, err = io.WriteString(conn, c.head(id))
	if err == nil && c.body != nil {
		_, err = io.Copy(conn, c.body)
		r.allSent(id)
	}
	if err != nil {
		r.answered(id, 0, "connection ended before all was sent: "+short(err))
		return id, 0
	}
	status, end, _, _ := readAnswer(bufio.NewReader(conn), id)
	r.answered(id, status, end)
	return id, status
}

// pipeliner is a client that sends an idempotent request each interval on one connection, whether the earlier ones have been
// answered or not.
type pipeliner struct {
	record    *record
	directory string
	zone      string
	region    string
	keep      float64 // How many times ttl_s it keeps a response of the directory.
	interval  time.Duration
	call      call
	phase     time.Duration // When it asks the directory for the first time.
	stop      <-chan struct{}
	resolved  func(at time.Time) // Called when the directory has answered; may be nil.
}

// maxOutstanding is the number of unanswered requests at which a client waits before it sends another.
const maxOutstanding = 8

// run connects again and again until it is stopped.
func (p *pipeliner) run(wg *sync.WaitGroup) {
	defer wg.Done()
	time.Sleep(p.phase)
	var addresses []string
	var until time.Time
	failed := map[string]time.Time{}
	refresh := func() {
		for time.Now().After(until) {
			list, ttl, err := resolve(p.directory, p.call.host, p.region, p.zone)
			if err == nil {
				addresses, until = list, time.Now().Add(time.Duration(p.keep*float64(ttl)))
				if p.resolved != nil {
					p.resolved(time.Now())
				}
				return
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	for !stopped(p.stop) {
		refresh()
		for _, a := range addresses {
			if time.Since(failed[a]) < 2*time.Second {
				continue
			}
			named := func() bool {
				refresh()
				for _, b := range addresses {
					if a == b {
						return true
					}
				}
				return false
			}
			if !p.use(a, named) {
				failed[a] = time.Now()
			}
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
}

func stopped(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// use sends requests on a connection until it ends, the address is no longer named, or the client is stopped. The requests that
// are outstanding then are awaited.
func (p *pipeliner) use(address string, named func() bool) bool {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return false
	}
	defer func() { _ = conn.Close() }()
	var mu sync.Mutex
	var pending []string
	ended, sound, finished := false, true, make(chan struct{})
	outstanding := make(chan string, 2*maxOutstanding)
	go func() {
		defer close(finished)
		reader := bufio.NewReader(conn)
		for id := range outstanding {
			_ = conn.SetReadDeadline(time.Now().Add(p.call.deadline))
			status, end, reuse, _ := readAnswer(reader, id)
			p.record.answered(id, status, end)
			mu.Lock()
			pending = pending[1:]
			if !reuse {
				// The connection ended, or was announced to end: what was sent behind ends with it.
				ended, sound = true, status != 0
				for _, behind := range pending {
					if status != 0 {
						end = "sent behind an answer that closes the connection"
					}
					p.record.answered(behind, 0, end)
				}
				mu.Unlock()
				return
			}
			mu.Unlock()
		}
	}()
	for !stopped(p.stop) && named() {
		mu.Lock()
		if ended {
			mu.Unlock()
			break
		}
		if len(pending) < maxOutstanding {
			id := newID()
			p.record.sent(id, p.call.method+" "+p.call.path+" to "+address+" from "+conn.LocalAddr().String(), p.call.deadline)
			if _, err := io.WriteString(conn, p.call.head(id)); err != nil {
				p.record.answered(id, 0, "connection ended before it was sent")
				mu.Unlock()
				break
			}
			pending = append(pending, id)
			outstanding <- id
		}
		mu.Unlock()
		time.Sleep(p.interval)
	}
	close(outstanding)
	<-finished
	return sound
}
