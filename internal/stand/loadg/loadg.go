package loadg

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/boragelane/boragelane/internal/edge/strict"
)

// Class describes the load of one class of callers.
type Class struct {
	Name       string        `json:"name"`
	Service    string        `json:"service"`
	Rank       string        `json:"rank"`
	Rate       float64       `json:"rate"` // Jobs per second.
	Timeout    time.Duration `json:"timeout"`
	Once       bool          `json:"once"`
	MaxResends int           `json:"resend"` // Maximum resends of a job without an answer.
	AnswerSize int           `json:"size"`   // Size of the answer in bytes.
	BodySize   int           `json:"body"`   // Size of the job's body in bytes, without its key.
	Start      time.Duration `json:"start"`  // Offset from the start of the run.
	Stop       time.Duration `json:"stop"`   // Offset from the start of the run; 0 means its end.
}

// Config describes one load run.
type Config struct {
	Fronts   []string      `json:"fronts"` // Front addresses of entry hosts, used for lookups.
	Classes  []Class       `json:"classes"`
	Duration time.Duration `json:"length"`
	Callers  int           `json:"callers"`
	Seed     uint64        `json:"seed"`
}

// classRun is a class with its results.
type classRun struct {
	Class
	mu        sync.Mutex
	result    Result
	latencies *hdrhistogram.Histogram
}

// Generator sends the load of a Config and collects the results.
type Generator struct {
	clock        func() time.Time
	cfg          Config
	client       *http.Client
	mu           sync.Mutex
	lookups      map[string]cachedLookup
	failedAt     map[string]time.Time
	onceKeys     []string
	notRunKeys   []string
	answeredKeys []string
	lostByHost   map[string]int
}

// New returns a generator for one run.
func New(cfg Config, clock func() time.Time) *Generator {
	transport := &http.Transport{Proxy: nil, MaxIdleConnsPerHost: 512, IdleConnTimeout: 20 * time.Second}
	return &Generator{cfg: cfg, clock: clock, client: &http.Client{Transport: transport}, lookups: map[string]cachedLookup{}, failedAt: map[string]time.Time{}, lostByHost: map[string]int{}}
}

// Run sends load for the configured time or until the context ends, waits for the jobs in flight and returns the report.
func (g *Generator) Run(ctx context.Context) Report {
	var wg sync.WaitGroup
	runs := make([]*classRun, len(g.cfg.Classes))
	for i, class := range g.cfg.Classes {
		run := &classRun{Class: class, latencies: hdrhistogram.New(1, 60_000_000, 3)}
		run.result = Result{Name: class.Name, Rank: class.Rank, Reasons: map[string]int{}}
		runs[i] = run
		wg.Go(func() { g.runClass(ctx, run, uint64(i)) })
	}
	wg.Wait()
	g.client.CloseIdleConnections()
	report := Report{OnceKeys: g.onceKeys, NotRunKeys: g.notRunKeys, AnsweredKeys: g.answeredKeys, LostByHost: g.lostByHost}
	for _, run := range runs {
		run.result.P50 = time.Duration(run.latencies.ValueAtQuantile(50)) * time.Microsecond
		run.result.P99 = time.Duration(run.latencies.ValueAtQuantile(99)) * time.Microsecond
		report.Classes = append(report.Classes, run.result)
	}
	return report
}

// runClass sends the jobs of one class with exponentially distributed gaps, independent of the responses.
func (g *Generator) runClass(ctx context.Context, run *classRun, stream uint64) {
	rng := rand.New(rand.NewPCG(g.cfg.Seed, stream))
	begin := g.clock()
	stop := g.cfg.Duration
	if run.Stop > 0 {
		stop = min(stop, run.Stop)
	}
	next := run.Start
	var wg sync.WaitGroup
	for n := 0; next < stop && run.Rate > 0; n++ {
		select {
		case <-ctx.Done():
			wg.Wait()
			return
		case <-time.After(begin.Add(next).Sub(g.clock())):
		}
		caller := fmt.Sprintf("caller-%d", rng.IntN(max(1, g.cfg.Callers)))
		key := fmt.Sprintf("%s-%d-%d", run.Name, g.cfg.Seed, n)
		due := begin.Add(next)
		wg.Go(func() { g.runJob(context.WithoutCancel(ctx), run, caller, key, due) })
		next += time.Duration(rng.ExpFloat64() / run.Rate * float64(time.Second))
	}
	wg.Wait()
}

// attempt is the result of one attempt to send a job.
type attempt struct {
	outcome   string
	reason    string
	newTicket string
	body      []byte
	err       error
}

// runJob sends a job and resends it until it is answered or its resends are used up.
func (g *Generator) runJob(ctx context.Context, run *classRun, caller, key string, due time.Time) {
	run.mu.Lock()
	run.result.Sent++
	run.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, time.Duration(run.MaxResends+1)*(run.Timeout+time.Second))
	defer cancel()
	if run.Once {
		g.appendKey(&g.onceKeys, key)
	}
	ticket, neverRan := "", true
	var last attempt
	for i := 0; i <= run.MaxResends; i++ {
		host := g.pickHost(ctx, caller, i)
		if run.Once && ticket == "" {
			if ticket = g.issueTicket(ctx, host); ticket == "" {
				g.markFailed(host)
				continue
			}
		}
		last = g.sendOnce(ctx, run, host, caller, key, ticket)
		if last.outcome == "answered" {
			break
		}
		neverRan = neverRan && last.outcome == "not-run"
		if last.err != nil {
			g.recordLostConnection(host)
			run.mu.Lock()
			run.result.ConnectionsLost++
			run.mu.Unlock()
		}
		if last.outcome == "not-run" && last.newTicket != "" {
			ticket = last.newTicket
		}
	}
	g.recordResult(run, key, last, neverRan, g.clock().Sub(due))
}

// recordResult counts the outcome of a job's last attempt; neverRan means that every attempt was refused as not run.
func (g *Generator) recordResult(run *classRun, key string, last attempt, neverRan bool, elapsed time.Duration) {
	run.mu.Lock()
	defer run.mu.Unlock()
	if last.reason != "" {
		run.result.Reasons[last.reason]++
	}
	switch last.outcome {
	case "answered":
		if !bytes.HasPrefix(last.body, []byte(key+"\n")) || len(last.body) < run.AnswerSize {
			run.result.Wrong++
			return
		}
		run.result.Answered++
		_ = run.latencies.RecordValue(max(1, elapsed.Microseconds()))
		if run.Once {
			g.appendKey(&g.answeredKeys, key)
		}
	case "not-run":
		run.result.NotRun++
		if run.Once && neverRan {
			g.appendKey(&g.notRunKeys, key)
		}
	case "unknown":
		run.result.Unknown++
	default:
		run.result.Failed++
	}
}

func (g *Generator) appendKey(list *[]string, key string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	*list = append(*list, key)
}

func (g *Generator) sendOnce(ctx context.Context, run *classRun, host, caller, key, ticket string) attempt {
	ctx, cancel := context.WithTimeout(ctx, run.Timeout+500*time.Millisecond)
	defer cancel()
	url := fmt.Sprintf("http://%s/v1/run/%s/item?size=%d", host, run.Service, run.AnswerSize)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(key+"\n"+strings.Repeat("b", run.BodySize)))
	if err != nil {
		return attempt{err: err}
	}
	req.GetBody = nil
	req.Header.Set("Boragelane-Rank", run.Rank)
	req.Header.Set("Boragelane-Timeout", run.Timeout.String())
	req.Header.Set("Boragelane-Caller", caller)
	if ticket != "" {
		req.Header.Set("Idempotency-Key", ticket)
	}
	resp, err := g.client.Do(req)
	if err != nil {
		return attempt{err: err, reason: "connection"}
	}
	defer func() { _ = resp.Body.Close() }()
	if err := strict.Check(resp); err != nil {
		return attempt{err: err, reason: "malformed"}
	}
	body, err := io.ReadAll(resp.Body)
	if err == nil && !strict.Framed(resp) {
		err = errors.New("answer without a length, which may be a part")
	}
	if err != nil {
		return attempt{err: err, reason: "cut"}
	}
	return attempt{
		outcome: resp.Header.Get("Boragelane-Outcome"), reason: resp.Header.Get("Boragelane-Reason"),
		newTicket: resp.Header.Get("Boragelane-Ticket"), body: body,
	}
}
