package main

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is a stand-in for the platform's metadata store.
type store struct {
	mu       sync.Mutex
	items    map[string]item
	history  []item
	revision int64
	leases   map[int64]*lease
	reject   map[string]bool // Machines that are turned away, by name.
	ip       string
	address  string
}

type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision int64  `json:"revision"`
	Create   int64  `json:"create_rev,omitempty"`
	Lease    int64  `json:"lease"`
	Removed  bool   `json:"removed,omitempty"`
}

type lease struct {
	ttl   time.Duration
	timer *time.Timer
}

const (
	pageItems = 500
	minTTL    = time.Second
	maxTTL    = 10 * time.Minute
	maxWait   = 30 * time.Second
)

// newStore starts a store at a free port of an address.
func newStore(ip string) *store {
	s := &store{items: map[string]item{}, leases: map[int64]*lease{}, reject: map[string]bool{}, revision: 100, ip: ip}
	s.address = s.addressFor("")
	return s
}

// addressFor opens an address of the store for one machine, so that it can be turned away alone.
func (s *store) addressFor(machine string) string {
	ln := listen(s.ip)
	go func() {
		_ = http.Serve(ln, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if s.rejects(machine) {
				w.WriteHeader(http.StatusServiceUnavailable)
				return
			}
			s.serve(w, r)
		}))
	}()
	return ln.Addr().String()
}

// listen opens a listener at a free port of an address.
func listen(ip string) net.Listener {
	ln, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		fail("listening at %s: %v", ip, err)
	}
	return ln
}

// put writes a key as the operator or a backend does.
func (s *store) put(key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		fail("encoding %s: %v", key, err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.set(key, data, 0)
}

// remove removes a key.
func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unset(key)
}

// setReject decides whether a machine is turned away with 503.
func (s *store) setReject(machine string, on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reject[machine] = on
}

func (s *store) rejects(machine string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reject[machine]
}

// has reports whether a key exists.
func (s *store) has(key string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, ok := s.items[key]
	return ok
}

func (s *store) set(key string, value []byte, id int64) {
	s.revision++
	it := item{Key: key, Value: value, Revision: s.revision, Create: s.revision, Lease: id}
	if old, ok := s.items[key]; ok {
		it.Create = old.Create
	}
	s.items[key] = it
	s.history = append(s.history, it)
}

func (s *store) unset(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	s.revision++
	delete(s.items, key)
	s.history = append(s.history, item{Key: key, Revision: s.revision, Removed: true})
}

// serve answers one call.
func (s *store) serve(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	switch path, arg, _ := strings.Cut(r.URL.Path[1:], "/"); path {
	case "kv-key":
		s.get(w, r)
	case "kv-range":
		s.list(w, r)
	case "kv-watch":
		s.watch(w, r)
	case "kv-txn":
		s.txn(w, r)
	case "kv-lease":
		s.grant(w, r)
	case "kv-keep":
		s.keep(w, arg)
	case "kv-lease-end":
		id, _ := strconv.ParseInt(arg, 10, 64)
		s.end(id)
		reply(w, map[string]any{})
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func reply(w http.ResponseWriter, v any) { _ = json.NewEncoder(w).Encode(v) }

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	it, ok := s.items[r.URL.Query().Get("key")]
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	reply(w, map[string]any{
		"key": it.Key, "value": it.Value, "revision": it.Revision, "create_rev": it.Create, "lease": it.Lease, "current_rev": s.revision,
	})
}

func (s *store) list(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	q := r.URL.Query()
	var keys []string
	for key := range s.items {
		if strings.HasPrefix(key, q.Get("prefix")) && (q.Get("after") == "" || key > q.Get("after")) {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	items, more := []item{}, false
	for i, key := range keys {
		if more = i == pageItems; more {
			break
		}
		items = append(items, s.items[key])
	}
	reply(w, map[string]any{"items": items, "has_more": more, "current_rev": s.revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, _ := strconv.ParseInt(q.Get("wait_ms"), 10, 64)
	end := time.Now().Add(min(maxWait, time.Duration(wait)*time.Millisecond))
	for {
		s.mu.Lock()
		events, revision := []item{}, s.revision
		at, _ := slices.BinarySearchFunc(s.history, after+1, func(it item, rev int64) int { return int(it.Revision - rev) })
		for _, it := range s.history[at:] {
			if strings.HasPrefix(it.Key, q.Get("prefix")) {
				events = append(events, it)
			}
		}
		s.mu.Unlock()
		if len(events) > 0 || !time.Now().Before(end) || r.Context().Err() != nil {
			reply(w, map[string]any{"events": events, "current_rev": revision})
			return
		}
		time.Sleep(2 * time.Millisecond)
	}
}

type txn struct {
	Expect []struct {
		Key      string `json:"key"`
		Revision int64  `json:"revision"`
	} `json:"expect"`
	Writes []struct {
		Key   string `json:"key"`
		Value []byte `json:"value"`
		Lease int64  `json:"lease"`
	} `json:"writes"`
	Deletes []string `json:"deletes"`
}

func (s *store) txn(w http.ResponseWriter, r *http.Request) {
	var in txn
	if json.NewDecoder(r.Body).Decode(&in) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range in.Expect {
		if s.items[e.Key].Revision != e.Revision {
			w.WriteHeader(http.StatusPreconditionFailed)
			reply(w, map[string]any{"items": []item{s.items[e.Key]}})
			return
		}
	}
	for _, write := range in.Writes {
		if strings.HasPrefix(write.Key, "op/") || strings.HasPrefix(write.Key, "servers/") {
			w.WriteHeader(http.StatusForbidden)
			return
		}
		if write.Lease != 0 && s.leases[write.Lease] == nil {
			w.WriteHeader(http.StatusNotFound)
			return
		}
	}
	for _, write := range in.Writes {
		s.set(write.Key, write.Value, write.Lease)
	}
	for _, key := range in.Deletes {
		s.unset(key)
	}
	reply(w, map[string]any{"revision": s.revision})
}

func (s *store) grant(w http.ResponseWriter, r *http.Request) {
	var in struct {
		TTL int64 `json:"ttl_ms"`
	}
	_ = json.NewDecoder(r.Body).Decode(&in)
	ttl := min(maxTTL, max(minTTL, time.Duration(in.TTL)*time.Millisecond))
	s.mu.Lock()
	defer s.mu.Unlock()
	id := int64(7000 + len(s.leases))
	s.leases[id] = &lease{ttl: ttl, timer: time.AfterFunc(ttl, func() { s.end(id) })}
	reply(w, map[string]any{"lease": id, "ttl_ms": ttl.Milliseconds()})
}

func (s *store) keep(w http.ResponseWriter, arg string) {
	id, _ := strconv.ParseInt(arg, 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[id]
	if l == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	l.timer.Reset(l.ttl)
	reply(w, map[string]any{"ttl_ms": l.ttl.Milliseconds()})
}

// end ends a lease and removes the keys that were last written under it.
func (s *store) end(id int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leases[id] == nil {
		return
	}
	s.leases[id].timer.Stop()
	s.leases[id] = nil
	for key, it := range s.items {
		if it.Lease == id {
			s.unset(key)
		}
	}
}
