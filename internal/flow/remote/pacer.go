package remote

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/boragelane/boragelane/internal/core/bucket"
	"github.com/boragelane/boragelane/internal/core/credit"
	"github.com/boragelane/boragelane/internal/core/plan"
	"github.com/boragelane/boragelane/internal/core/share"
)

// usableFraction is the fraction of a quota that jobs may use; the rest is for refusals and control messages.
const usableFraction = 0.95

// Pacer paces messages to other regions within this host's quotas of the links, by rank.
type Pacer struct {
	Clock func() time.Time

	mu    sync.Mutex
	ranks []float64
	links map[string]*link
}

// link is the link to one region with the messages that wait for it.
type link struct {
	quota          share.Quota
	bucket         bucket.Bucket
	credit         credit.RankSelector
	queues         [][]*message
	timer          *time.Timer
	sentBytes      int64
	queuedMessages int // Messages in all queues.
}

type message struct {
	bytes int64
	ready chan struct{}
	sent  bool
}

// NewPacer returns a pacer that has no links until the first Update.
func NewPacer(clock func() time.Time) *Pacer {
	return &Pacer{Clock: clock, links: map[string]*link{}}
}

// Update applies a plan's link quotas.
func (p *Pacer) Update(now time.Time, pl *plan.Plan) {
	if pl.Doc == nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ranks = p.ranks[:0]
	for _, r := range pl.Doc.Ranks {
		p.ranks = append(p.ranks, r.Minimum)
	}
	for region, quota := range pl.Links {
		ln := p.links[region]
		if ln == nil {
			ln = &link{bucket: bucket.New(0, now)}
			p.links[region] = ln
		}
		ln.resize(p.ranks)
		ln.quota = quota
		p.dispatch(now, ln)
	}
	for region, ln := range p.links {
		if _, ok := pl.Links[region]; !ok {
			ln.quota = share.Quota{}
		}
	}
}

// updateLimit sets the rate limit to the usable part of the quota at this time and reports whether it is above 0.
// Tokens above the new burst size are dropped.
func (ln *link) updateLimit(now time.Time) bool {
	if limit := float64(ln.quota.At(now)) * usableFraction; ln.bucket.Limit != limit {
		ln.bucket.SetLimit(limit, now)
	}
	return ln.bucket.Limit > 0
}

func (ln *link) resize(minimum []float64) {
	ln.credit.SetMinimums(minimum)
	for len(ln.queues) < len(minimum) {
		ln.queues = append(ln.queues, nil)
	}
}

// Wait queues a message of the given size at its rank's level for the link to a region and returns when it may be sent;
// it reports false if it can't be sent before the deadline or the end of the context.
func (p *Pacer) Wait(ctx context.Context, now time.Time, region string, level int, bytes int64, deadline time.Time) bool {
	m := p.enqueue(now, region, level, bytes, deadline)
	if m == nil {
		return false
	}
	timer := time.NewTimer(deadline.Sub(now))
	defer timer.Stop()
	select {
	case <-m.ready:
		return true
	case <-ctx.Done():
	case <-timer.C:
	}
	return p.cancel(region, level, m)
}

func (p *Pacer) enqueue(now time.Time, region string, level int, bytes int64, deadline time.Time) *message {
	p.mu.Lock()
	defer p.mu.Unlock()
	ln := p.links[region]
	if ln == nil || !ln.updateLimit(now) || level >= len(ln.queues) {
		return nil
	}
	if now.Add(ln.estimateWait(level, bytes)).After(deadline) {
		return nil
	}
	m := &message{bytes: bytes, ready: make(chan struct{})}
	ln.queues[level] = append(ln.queues[level], m)
	ln.queuedMessages++
	p.dispatch(now, ln)
	return m
}

// estimateWait returns the expected wait of a new message: behind all ranks up to its own, or behind its own rank
// alone at that rank's minimum rate, whichever is shorter.
func (ln *link) estimateWait(level int, bytes int64) time.Duration {
	own := float64(bytes) + ln.queuedBytes(level)
	ahead := own - ln.bucket.Tokens
	for l := range level {
		ahead += ln.queuedBytes(l)
	}
	rate := ln.bucket.Limit * (1 - bucket.BurstFraction)
	seconds := max(0, ahead) / rate
	if minimum := ln.credit.Minimum[level]; minimum > 0 {
		seconds = min(seconds, own/(rate*minimum))
	}
	return time.Duration(seconds * float64(time.Second))
}

func (ln *link) queuedBytes(level int) float64 {
	var sum int64
	for _, m := range ln.queues[level] {
		sum += m.bytes
	}
	return float64(sum)
}

// cancel removes a message from its queue; it reports true if the message had already been released.
func (p *Pacer) cancel(region string, level int, m *message) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if m.sent {
		return true
	}
	ln := p.links[region]
	ln.queues[level] = slices.DeleteFunc(ln.queues[level], func(o *message) bool { return o == m })
	ln.queuedMessages--
	return false
}

// dispatch releases the messages that the bucket allows and schedules a timer for the next one.
func (p *Pacer) dispatch(now time.Time, ln *link) {
	ready := func(l int) bool { return len(ln.queues[l]) > 0 }
	cost := func(l int) float64 {
		if len(ln.queues[l]) == 0 {
			return 0
		}
		return float64(ln.queues[l][0].bytes)
	}
	for ln.queuedMessages > 0 && ln.updateLimit(now) {
		level := ln.credit.Pick(ready, cost)
		m := ln.queues[level][0]
		if wait := ln.bucket.Take(float64(m.bytes), now); wait > 0 {
			p.scheduleDispatch(ln, wait)
			return
		}
		ln.credit.Charge(level, ready, cost)
		ln.queues[level] = ln.queues[level][1:]
		ln.queuedMessages--
		ln.sentBytes += m.bytes
		m.sent = true
		close(m.ready)
	}
}

func (p *Pacer) scheduleDispatch(ln *link, wait time.Duration) {
	if ln.timer == nil {
		ln.timer = time.AfterFunc(wait, func() {
			p.mu.Lock()
			defer p.mu.Unlock()
			p.dispatch(p.Clock(), ln)
		})
		return
	}
	ln.timer.Reset(wait)
}

// Charge spends bytes that are sent without waiting; the bucket may go into debt, which delays later messages.
func (p *Pacer) Charge(now time.Time, region string, bytes int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	ln := p.links[region]
	if ln == nil {
		return
	}
	ln.bucket.Refill(now)
	ln.bucket.Tokens -= float64(bytes)
	ln.sentBytes += bytes
}

// SentBytes returns the number of bytes sent to each region.
func (p *Pacer) SentBytes() map[string]int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make(map[string]int64, len(p.links))
	for region, ln := range p.links {
		out[region] = ln.sentBytes
	}
	return out
}
