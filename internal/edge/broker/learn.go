package broker

import (
	"context"
	"time"

	"github.com/boragelane/boragelane/internal/core/roster"
	"github.com/boragelane/boragelane/internal/flow/place"
)

const (
	// learnTick is the interval of the learner's checks.
	learnTick = 250 * time.Millisecond
	// ticksPerCopy is the number of checks from one copy of the placing host's knowledge to the next.
	ticksPerCopy = 8
	// maxFirstTries is the number of checks in which a host that has become the first in the order tries to learn.
	maxFirstTries = 8
	// learnTimeout bounds a request for knowledge.
	learnTimeout = 700 * time.Millisecond
)

// Learner keeps a copy of what the placing host of each service has learned, on the host that would place next. A host that
// becomes the first in the order, for example after a restart, learns from the one that placed until then.
type Learner struct {
	Scheduler *place.Scheduler
	View      func() *roster.View
	OnError   func(host string, err error) // Called when a request failed.
	Clock     func() time.Time
	Done      chan struct{}

	peers *peerPool
	tries map[string]int // Checks since this host became the first in the order, by service.
}

// Run requests knowledge until the context ends.
func (l *Learner) Run(ctx context.Context) {
	defer close(l.Done)
	l.peers = newPeerPool(l.Clock)
	defer l.peers.close()
	l.tries = map[string]int{}
	t := time.NewTicker(learnTick)
	defer t.Stop()
	for tick := 0; ; tick++ {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		v := l.View()
		for service, hosts := range v.DutyHosts {
			from := teacher(v.Self.Name, hosts)
			if from == nil || !l.due(tick, service, hosts[0].Name == v.Self.Name) {
				continue
			}
			l.learn(ctx, service, *from)
		}
	}
}

// due reports whether this host should learn now.
func (l *Learner) due(tick int, service string, first bool) bool {
	if !first {
		delete(l.tries, service)
		return tick%ticksPerCopy == 0
	}
	l.tries[service]++
	return l.tries[service] <= maxFirstTries
}

// teacher returns the host from which a host learns: the first learns from the second and the second from the first; the
// others learn nothing.
func teacher(self string, hosts []roster.Host) *roster.Host {
	switch {
	case len(hosts) < 2:
		return nil
	case hosts[0].Name == self:
		return &hosts[1]
	case hosts[1].Name == self:
		return &hosts[0]
	}
	return nil
}

// learn requests a host's knowledge of a service.
func (l *Learner) learn(ctx context.Context, service string, from roster.Host) {
	ctx, cancel := context.WithTimeout(ctx, learnTimeout)
	defer cancel()
	if l.peers.skipped(from) {
		return
	}
	p, err := l.peers.get(ctx, from)
	var w *wireKnowledge
	if err == nil {
		err = p.call(ctx, methodLearn, wireLearnRequest{Service: service}, &w)
	}
	if err != nil {
		l.OnError(from.Name, err)
		l.peers.markFailed(from)
		return
	}
	if w != nil {
		l.Scheduler.Adopt(l.Clock(), service, w.knowledge())
	}
}
