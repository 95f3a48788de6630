package watch

import (
	"context"
	"time"
)

// peerAnswer is what a host answered to a request for changes.
type peerAnswer struct {
	source  source
	updates Updates
	err     error
}

// peerRound asks hosts for changes until one has recent ones. On a calm day it asks the first host only. If that fails or has no
// recent changes, the next one is asked; if it stays silent, all others are asked at the same time.
type peerRound struct {
	reader  *Reader
	sources []source // Those that were not asked yet.
	asked   []source // Those that have not answered yet.
	answers chan peerAnswer
}

// run reports whether a host had recent changes; those are passed on.
func (p *peerRound) run(ctx context.Context) bool {
	silence := time.NewTimer(p.sources[0].wait + silenceMargin)
	defer silence.Stop()
	p.askNext(ctx)
	for len(p.asked) > 0 {
		select {
		case a := <-p.answers:
			if p.take(ctx, a) {
				return true
			}
			p.askNext(ctx)
		case <-silence.C:
			p.skipSilent()
			for len(p.sources) > 0 {
				p.askNext(ctx)
			}
		case <-ctx.Done():
			p.skipSilent()
			return false
		}
	}
	return false
}

// askNext asks the next host, if there is one. Its goroutine ends with the context at the latest.
func (p *peerRound) askNext(ctx context.Context) {
	if len(p.sources) == 0 {
		return
	}
	src := p.sources[0]
	p.sources, p.asked = p.sources[1:], append(p.asked, src)
	after := p.reader.revision
	go func() {
		updates, err := p.reader.Peers.Updates(ctx, src.host, after, src.wait)
		p.answers <- peerAnswer{source: src, updates: updates, err: err}
	}()
}

// take passes on the changes of an answer if they are recent. A host that failed is skipped for a while.
func (p *peerRound) take(ctx context.Context, a peerAnswer) bool {
	r := p.reader
	for i := range p.asked {
		if p.asked[i].host.Name == a.source.host.Name {
			p.asked = append(p.asked[:i:i], p.asked[i+1:]...)
			break
		}
	}
	switch {
	case a.err != nil:
		r.skipUntil[a.source.host.Name] = r.Clock().Add(peerSkipPeriod)
		return false
	case a.updates.Age > a.source.maxAge || r.revision == 0 && !a.updates.Batch.Snapshot:
		return false
	}
	r.forward(ctx, a.source.host.Name, a.updates)
	return true
}

// skipSilent skips the hosts that have not answered for a while.
func (p *peerRound) skipSilent() {
	for _, src := range p.asked {
		p.reader.skipUntil[src.host.Name] = p.reader.Clock().Add(peerSkipPeriod)
	}
}
