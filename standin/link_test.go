package main

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/boragelane/boragelane/internal/host/config"
	"github.com/boragelane/boragelane/internal/stand/layout"
	"github.com/boragelane/boragelane/internal/stand/loadg"
)

// trafficSample is a host's count of bytes sent to other hosts, read at some time between begin and end.
type trafficSample struct {
	begin, end time.Time
	sent       int64
}

// trafficMeter samples the hosts' byte counters through their admin addresses.
type trafficMeter struct {
	mu      sync.Mutex
	samples map[string][]trafficSample
}

func (m *trafficMeter) add(seat string, s trafficSample) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.samples[seat] = append(m.samples[seat], s)
}

// recordPaused repeats the last sample of a paused host just before it continues, since it sent nothing meanwhile.
func (m *trafficMeter) recordPaused(seat string, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	list := m.samples[seat]
	m.samples[seat] = append(list, trafficSample{now, now, list[len(list)-1].sent})
}

// poll samples one host until the context ends.
func (m *trafficMeter) poll(ctx context.Context, s config.Settings) {
	client := &http.Client{Timeout: 100 * time.Millisecond}
	for ctx.Err() == nil {
		begin := time.Now()
		resp, err := client.Get("http://" + s.Admin + "/debug/vars")
		if err == nil {
			var vars struct {
				Boragelane struct{ Gauges struct{ Traffic [2]int64 } } // Bytes received and sent.
			}
			err = json.NewDecoder(resp.Body).Decode(&vars)
			_ = resp.Body.Close()
			if err == nil {
				m.add(s.Seat, trafficSample{begin, time.Now(), vars.Boragelane.Gauges.Traffic[1]})
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// maxPerSecond returns the maximum number of bytes that all hosts together sent within one second.
func (m *trafficMeter) maxPerSecond(from, to time.Time) int64 {
	var most int64
	for start := from; start.Before(to); start = start.Add(10 * time.Millisecond) {
		var sum int64
		for _, list := range m.samples {
			first, last := int64(-1), int64(-1)
			for _, s := range list {
				if s.begin.Before(start) || s.end.After(start.Add(time.Second)) {
					continue
				}
				if first < 0 {
					first = s.sent
				}
				last = s.sent
			}
			sum += last - first
		}
		most = max(most, sum)
	}
	return most
}

// keepSending sends jobs to one host until the context ends, also while the host is paused.
func keepSending(ctx context.Context, front string) {
	client := &http.Client{Timeout: 500 * time.Millisecond}
	body := "extra\n" + strings.Repeat("b", 60_000)
	for ctx.Err() == nil {
		time.Sleep(5 * time.Millisecond)
		resp, err := client.Post("http://"+front+"/v1/run/"+layout.Catalog+"/item", "text/plain", strings.NewReader(body))
		if err == nil {
			_ = resp.Body.Close()
		}
	}
}

// A host that continues after its grant or lease has expired must not use its old quota of the link. The test pauses a
// host of each failure domain for longer than its grant and then the lenders for longer than their lease, while callers
// offer more traffic than the link's limit.
func TestALinkKeepsItsLimitWhileItsHoldersAreFrozen(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	const rate = 35_000_000 // 280 Mbit/s.
	f := newFleet(t, layout.Options{
		Subnet: 131, Regions: []string{"dar", "mwanza"}, Domains: 2, Hosts: 2, Upstreams: 2,
		Slots: 4, Capacity: 200, LinkRate: rate, LinkDelay: 20 * time.Millisecond,
		Skip: func(domain, service string) bool {
			return service == layout.Catalog && strings.HasPrefix(domain, "dar")
		},
	})
	cfg := loadg.Config{Duration: 24 * time.Second, Callers: 200, Seed: 7, Classes: []loadg.Class{
		{Name: "main", Service: layout.Catalog, Rank: "bulk", Rate: 700, Timeout: time.Second, AnswerSize: 100, BodySize: 60_000},
	}}
	m := &trafficMeter{samples: map[string][]trafficSample{}}
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	for _, s := range f.layout.Settings {
		if s.Region == "dar" {
			cfg.Fronts = append(cfg.Fronts, s.Front)
			wg.Go(func() { m.poll(ctx, s) })
			for range 20 {
				wg.Go(func() { keepSending(ctx, s.Front) })
			}
		}
	}
	pause := func(after, length time.Duration, seats ...string) {
		time.Sleep(after)
		for _, seat := range seats {
			f.signal(seat, syscall.SIGSTOP)
		}
		time.Sleep(length)
		for _, seat := range seats {
			m.recordPaused(seat, time.Now())
			f.signal(seat, syscall.SIGCONT)
		}
	}
	wg.Go(func() {
		pause(3*time.Second, 6*time.Second, "dar-a-2", "dar-b-2")
		pause(2*time.Second, 11*time.Second, "dar-a-1", "dar-b-1")
	})
	begin := time.Now()
	report := loadg.New(cfg, time.Now).Run(context.Background())
	end := time.Now()
	cancel()
	wg.Wait()
	most := m.maxPerSecond(begin, end)
	t.Logf("most in a second: %d bytes of %d; %d of %d jobs answered, %v",
		most, rate, report.Classes[0].Answered, report.Classes[0].Sent, report.Classes[0].Reasons)
	assert.Assert(t, most <= rate, "%d bytes in a second", most)
	assert.Assert(t, report.Classes[0].Answered > 0) // The throughput depends on the load of the machine.
	assert.Equal(t, report.Classes[0].Wrong, int64(0))
}
