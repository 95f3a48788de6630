package consul

import (
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"
)

// kvEntry is a value, the index of its last change and the session that holds its lock.
type kvEntry struct {
	data        []byte
	modifyIndex uint64
	session     string
}

// kvSession is a session that expires unless it is renewed.
type kvSession struct {
	ttl       time.Duration
	expiresAt time.Time
}

// Put writes a key unconditionally.
func (p *Platform) Put(key string, data []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.put(key, kvEntry{data: data})
}

func (p *Platform) put(key string, entry kvEntry) {
	p.advanceIndex()
	entry.modifyIndex = p.index
	p.kv[key] = entry
}

// expireSessions ends the sessions whose TTL has passed.
func (p *Platform) expireSessions() {
	now := p.clock()
	for id, s := range p.sessions {
		if now.After(s.expiresAt) {
			p.endSession(id)
		}
	}
}

// endSession deletes a session and releases the keys it holds.
func (p *Platform) endSession(id string) {
	delete(p.sessions, id)
	for key, entry := range p.kv {
		if entry.session == id {
			entry.session = ""
			p.put(key, entry)
		}
	}
}

func (p *Platform) serveGet(w http.ResponseWriter, r *http.Request) {
	key := r.PathValue("key")
	after, _ := strconv.ParseUint(r.URL.Query().Get("index"), 10, 64)
	if !p.waitForChange(r, func() bool { return p.kv[key].modifyIndex > after }) {
		closeConnection(w)
		return
	}
	p.mu.Lock()
	entry, ok := p.kv[key]
	index := p.index
	p.mu.Unlock()
	w.Header().Set("X-Consul-Index", strconv.FormatUint(index, 10))
	if !ok {
		http.Error(w, "", http.StatusNotFound)
		return
	}
	writeJSON(w, []map[string]any{{"Key": key, "Value": entry.data, "ModifyIndex": entry.modifyIndex, "Session": entry.session}})
}

// maxValueSize is the maximum size of an accepted value in bytes.
const maxValueSize = 1 << 20

func (p *Platform) servePut(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxValueSize))
	if err != nil {
		http.Error(w, "value too large", http.StatusRequestEntityTooLarge)
		return
	}
	key, q := r.PathValue("key"), r.URL.Query()
	p.mu.Lock()
	defer p.mu.Unlock()
	old := p.kv[key]
	switch {
	case q.Has("cas"):
		index, _ := strconv.ParseUint(q.Get("cas"), 10, 64)
		if old.modifyIndex != index {
			writeJSON(w, false)
			return
		}
	case q.Has("acquire"):
		id := q.Get("acquire")
		if _, live := p.sessions[id]; !live || (old.session != "" && old.session != id) {
			writeJSON(w, false)
			return
		}
		old.session = id
	}
	p.put(key, kvEntry{data: data, session: old.session})
	writeJSON(w, true)
}

func (p *Platform) serveDelete(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.kv, r.PathValue("key"))
	p.advanceIndex()
	writeJSON(w, true)
}

func (p *Platform) serveSessionCreate(w http.ResponseWriter, r *http.Request) {
	var req struct{ TTL string }
	_ = json.NewDecoder(r.Body).Decode(&req)
	ttl, err := time.ParseDuration(req.TTL)
	if err != nil || ttl < time.Second {
		http.Error(w, "bad TTL", http.StatusBadRequest)
		return
	}
	var b [16]byte
	_, _ = rand.Read(b[:])
	id := hex.EncodeToString(b[:])
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sessions[id] = kvSession{ttl: ttl, expiresAt: p.clock().Add(ttl)}
	writeJSON(w, map[string]string{"ID": id})
}

func (p *Platform) serveSessionRenew(w http.ResponseWriter, r *http.Request) {
	id := r.PathValue("id")
	p.mu.Lock()
	defer p.mu.Unlock()
	s, ok := p.sessions[id]
	if !ok {
		http.Error(w, "no such session", http.StatusNotFound)
		return
	}
	s.expiresAt = p.clock().Add(s.ttl)
	p.sessions[id] = s
	writeJSON(w, []map[string]string{{"ID": id}})
}

func (p *Platform) serveSessionDestroy(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.endSession(r.PathValue("id"))
	writeJSON(w, true)
}
