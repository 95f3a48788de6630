//go:build review3

package main

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is an entry of the store, or its removal.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"create_rev,omitempty"`
	Lease    int64  `json:"lease"`
	Removed  bool   `json:"removed,omitempty"`

	at time.Time
}

// historyLife is history_s of the site files.
const historyLife = 20 * time.Second

// store is a stand-in of the platform's store. It keeps all that it acknowledged.
type store struct {
	mu       sync.Mutex
	changed  chan struct{}
	items    map[string]item
	history  []item
	dropped  int64 // The history is complete after this revision.
	revision int64
	leases   map[int64]*storeLease
	lastID   int64
	refused  map[string]bool // Machines that get 503.
	watched  map[string]int  // Calls of kv-watch, by machine.
	watches  func(machine string, bytes int, events int)
}

type storeLease struct {
	ttl   time.Duration
	timer *time.Timer
}

func newStore() *store {
	return &store{changed: make(chan struct{}), items: map[string]item{}, revision: 1, leases: map[int64]*storeLease{}, refused: map[string]bool{}, watched: map[string]int{}}
}

// put writes an entry as the operator or a server.
func (s *store) put(key string, value any) int64 {
	data, _ := json.Marshal(value)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.set(key, data, 0)
	return s.revision
}

func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unset(key)
}

// refuse makes the store turn a machine away, or serve it again.
func (s *store) refuse(machine string, on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refused[machine] = on
}

// watchesOf returns the number of a machine's watches.
func (s *store) watchesOf(machine string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.watched[machine]
}

func (s *store) set(key string, value []byte, lease int64) {
	s.revision++
	it := item{Key: key, Value: value, Revision: s.revision, Created: s.revision, Lease: lease, at: time.Now()}
	if old, ok := s.items[key]; ok {
		it.Created = old.Created
	}
	s.items[key] = it
	s.note(it)
}

func (s *store) unset(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	s.revision++
	delete(s.items, key)
	s.note(item{Key: key, Revision: s.revision, Removed: true, at: time.Now()})
}

func (s *store) note(it item) {
	s.history = append(s.history, it)
	for len(s.history) > 0 && time.Since(s.history[0].at) > historyLife {
		s.dropped = s.history[0].Revision
		s.history = s.history[1:]
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// serve answers one machine at an address of its own.
func (s *store) serve(machine, address string) error {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	go func() {
		_ = http.Serve(ln, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { s.handle(machine, w, r) }))
	}()
	return nil
}

func (s *store) handle(machine string, w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	refused := s.refused[machine]
	s.mu.Unlock()
	w.Header().Set("Store-Era", "1")
	w.Header().Set("Content-Type", "application/json")
	if refused {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	call, id, _ := strings.Cut(r.URL.Path[1:], "/")
	switch call {
	case "kv-key":
		s.get(w, r)
	case "kv-range":
		s.list(w, r)
	case "kv-watch":
		s.watch(machine, w, r)
	case "kv-txn":
		s.txn(w, r)
	case "kv-lease":
		s.lease(w, r)
	case "kv-keep", "kv-lease-end":
		s.keep(w, id, call == "kv-lease-end")
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	it, ok := s.items[r.URL.Query().Get("key")]
	s.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	reply(w, it)
}

// maxPageItems and maxPageBytes bound a page.
const maxPageItems, maxPageBytes = 500, 1_000_000

func (s *store) list(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	var keys []string
	for key := range s.items {
		if strings.HasPrefix(key, q.Get("prefix")) && key > q.Get("after") {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	page, bytes, more := []item{}, 0, false
	for _, key := range keys {
		it := s.items[key]
		if len(page) == maxPageItems || len(page) > 0 && bytes+len(it.Value) > maxPageBytes {
			more = true
			break
		}
		page, bytes = append(page, it), bytes+len(it.Value)
	}
	reply(w, map[string]any{"items": page, "has_more": more, "current_rev": s.revision})
}

func (s *store) watch(machine string, w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	end := time.After(time.Duration(wait) * time.Millisecond)
	s.mu.Lock()
	s.watched[machine]++
	s.mu.Unlock()
	for waited := false; ; {
		s.mu.Lock()
		changed := s.changed
		for len(s.history) > 0 && time.Since(s.history[0].at) > historyLife {
			s.dropped, s.history = s.history[0].Revision, s.history[1:]
		}
		gone := after < s.dropped || after > s.revision
		events := []item{}
		for _, it := range s.history {
			if it.Revision > after && strings.HasPrefix(it.Key, q.Get("prefix")) {
				events = append(events, it)
			}
		}
		current := s.revision
		s.mu.Unlock()
		if gone {
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(events) > 0 || waited {
			n := reply(w, map[string]any{"events": events, "current_rev": current})
			if s.watches != nil {
				s.watches(machine, n, len(events))
			}
			return
		}
		select {
		case <-changed:
		case <-end:
			waited = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) txn(w http.ResponseWriter, r *http.Request) {
	var in struct {
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
	for _, x := range in.Writes {
		if x.Lease != 0 && s.leases[x.Lease] == nil {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		if strings.HasPrefix(x.Key, "op/") || strings.HasPrefix(x.Key, "servers/") {
			w.WriteHeader(http.StatusForbidden)
			return
		}
	}
	for _, x := range in.Writes {
		s.set(x.Key, x.Value, x.Lease)
	}
	for _, key := range in.Deletes {
		s.unset(key)
	}
	reply(w, map[string]any{"revision": s.revision})
}

func (s *store) lease(w http.ResponseWriter, r *http.Request) {
	var in struct {
		TTL int64 `json:"ttl_ms"`
	}
	_ = json.NewDecoder(r.Body).Decode(&in)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastID++
	id, l := s.lastID, &storeLease{ttl: time.Duration(max(1000, in.TTL)) * time.Millisecond}
	l.timer = time.AfterFunc(l.ttl, func() { s.endLease(id) })
	s.leases[id] = l
	reply(w, map[string]any{"lease": id, "ttl_ms": l.ttl.Milliseconds()})
}

func (s *store) endLease(id int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.leases, id)
	var keys []string
	for key, it := range s.items {
		if it.Lease == id {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	for _, key := range keys {
		s.unset(key)
	}
}

func (s *store) keep(w http.ResponseWriter, text string, end bool) {
	id, _ := strconv.ParseInt(text, 10, 64)
	s.mu.Lock()
	l := s.leases[id]
	if l != nil {
		l.timer.Reset(l.ttl)
	}
	s.mu.Unlock()
	if l == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	if end {
		l.timer.Stop()
		s.endLease(id)
	}
	reply(w, map[string]any{"ttl_ms": l.ttl.Milliseconds()})
}

// reply writes a JSON body and returns its size.
func reply(w http.ResponseWriter, v any) int {
	data, _ := json.Marshal(v)
	n, _ := w.Write(data)
	return n
}
