package claims

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/boragelane/boragelane/internal/edge/store"
	"github.com/boragelane/boragelane/internal/flow/dedup"
	"github.com/boragelane/boragelane/internal/stand/consul"
)

// Parameters of the benchmark.
const (
	hostCount   = 8
	runDuration = 3 * time.Second
	// claimTimeout bounds how long a job waits for its claim.
	claimTimeout = time.Second
	// writesPerSecond is the platform's write limit.
	writesPerSecond = 400
)

// Strategy is a strategy for running a job at most once.
type Strategy string

// Strategies.
const (
	TicketStrategy Strategy = "ticket"        // A ticket held in the memory of its host.
	ClaimPerJob    Strategy = "claim a job"   // One write to the platform per job.
	ClaimPerBatch  Strategy = "claim a group" // One write to the platform per batch of jobs.
)

// Result holds the throughput and latency of one strategy.
type Result struct {
	Strategy      Strategy
	Rate          float64       // Jobs per second over all hosts.
	PlatformDelay time.Duration // Latency of one call to the platform.
	P50           time.Duration
	P99           time.Duration
	Claimed       int64
	Missed        int64 // Jobs not claimed within the timeout.
	Writes        int64 // Write calls to the platform.
}

// String formats the result as a table row.
func (r Result) String() string {
	return fmt.Sprintf("%-14s %6.0f jobs/s  platform %6s  p50 %10s  p99 %10s  claimed %6d  missed %6d  writes/s %6.0f",
		r.Strategy, r.Rate, r.PlatformDelay, r.P50.Round(time.Microsecond), r.P99.Round(time.Microsecond), r.Claimed, r.Missed,
		float64(r.Writes)/runDuration.Seconds())
}

// claimer claims the right to run a job.
type claimer interface {
	Claim(ctx context.Context, id string) bool
}

// Measure offers jobs at a total rate per second to hosts that claim them with one strategy, and reports the claim latency.
func Measure(ctx context.Context, clock func() time.Time, strategy Strategy, rate float64, delay time.Duration) (Result, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	platform := consul.New(clock)
	platform.SetFaults(consul.Faults{Delay: delay, WriteRate: writesPerSecond})
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", "127.83.0.1:0")
	if err != nil {
		return Result{}, err
	}
	server := &http.Server{Handler: platform.Handler(), ReadHeaderTimeout: time.Second}
	go func() { _ = server.Serve(listener) }()
	defer func() { _ = server.Close() }()
	result := Result{Strategy: strategy, Rate: rate, PlatformDelay: delay}
	var mu sync.Mutex
	latencies := hdrhistogram.New(1, int64(10*time.Second/time.Microsecond), 3)
	var missed atomic.Int64
	var wg sync.WaitGroup
	for host := range hostCount {
		claimer := newClaimer(ctx, clock, strategy, store.New("http://"+listener.Addr().String()), host)
		wg.Go(func() {
			runOpenLoop(clock, rate/hostCount, func(n int) {
				ctx, cancel := context.WithTimeout(ctx, claimTimeout)
				defer cancel()
				begin := clock()
				if !claimer.Claim(ctx, fmt.Sprintf("%d-%d", host, n)) {
					missed.Add(1)
					return
				}
				mu.Lock()
				defer mu.Unlock()
				_ = latencies.RecordValue(max(1, clock().Sub(begin).Microseconds()))
			})
		})
	}
	wg.Wait()
	result.P50 = time.Duration(latencies.ValueAtQuantile(50)) * time.Microsecond
	result.P99 = time.Duration(latencies.ValueAtQuantile(99)) * time.Microsecond
	result.Claimed, result.Missed, result.Writes = latencies.TotalCount(), missed.Load(), platform.Counts().Writes
	return result, nil
}

// newClaimer returns the claimer of a strategy for one host.
func newClaimer(ctx context.Context, clock func() time.Time, strategy Strategy, client *store.Client, host int) claimer {
	switch strategy {
	case ClaimPerJob:
		return &jobClaimer{store: client}
	case ClaimPerBatch:
		return newBatchClaimer(ctx, client, host)
	default:
		var n atomic.Int64
		return &ticketClaimer{clock: clock, filter: dedup.Filter{Table: dedup.NewTable(), NewID: func() string { return fmt.Sprintf("%016x", n.Add(1)) }}}
	}
}

// runOpenLoop starts jobs at a fixed rate, without waiting for earlier ones to finish.
func runOpenLoop(clock func() time.Time, rate float64, run func(n int)) {
	begin := clock()
	var wg sync.WaitGroup
	for n := 0; ; n++ {
		at := time.Duration(float64(n) / rate * float64(time.Second))
		if at >= runDuration {
			break
		}
		time.Sleep(begin.Add(at).Sub(clock()))
		wg.Go(func() { run(n) })
	}
	wg.Wait()
}
