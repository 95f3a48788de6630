package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/boragelane/boragelane/internal/stand/consul"
	"github.com/boragelane/boragelane/internal/stand/layout"
	"github.com/boragelane/boragelane/internal/stand/loadg"
)

// fleet is a system of separate processes that can be killed, paused and restarted.
type fleet struct {
	t      *testing.T
	dir    string
	layout layout.Layout
	procs  map[string]*exec.Cmd
	args   map[string][]string
}

func newFleet(t *testing.T, o layout.Options) *fleet {
	f := &fleet{t: t, dir: t.TempDir(), layout: layout.Build(o), procs: map[string]*exec.Cmd{}, args: map[string][]string{}}
	for name, pkg := range map[string]string{"boragelane": "..", "standin": "."} {
		out, err := exec.Command("go", "build", "-o", filepath.Join(f.dir, name), pkg).CombinedOutput()
		assert.NilError(t, err, "%s", out)
	}
	t.Cleanup(func() {
		for _, p := range f.procs {
			_ = p.Process.Kill()
			_ = p.Wait()
		}
	})
	f.start("platform", "standin", "platform", "--listen", f.layout.Platform)
	for _, u := range f.layout.Upstreams {
		f.start(u.ID, "standin", "upstream", "--listen", fmt.Sprintf("%s:%d", u.Address, u.Port), "--id", u.ID,
			"--slots", fmt.Sprint(o.Slots), "--time", "3ms", "--log", f.runLogPath(u.ID))
	}
	for _, s := range f.layout.Settings {
		file := filepath.Join(f.dir, s.Seat+".json")
		assert.NilError(t, os.WriteFile(file, []byte(settingsText(s)), 0o600))
		f.start(s.Seat, "boragelane", "entry", file)
	}
	f.postControl("upstreams", f.layout.Upstreams)
	f.configure()
	return f
}

func (f *fleet) runLogPath(id string) string { return filepath.Join(f.dir, id+".ran") }

// start starts a process; without arguments it restarts the process of that name.
func (f *fleet) start(name string, args ...string) {
	if args == nil {
		args = f.args[name]
	}
	f.args[name] = args
	out, err := os.OpenFile(filepath.Join(f.dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	assert.NilError(f.t, err)
	cmd := exec.Command(filepath.Join(f.dir, args[0]), args[1:]...)
	cmd.Stdout, cmd.Stderr = out, out
	assert.NilError(f.t, cmd.Start())
	f.procs[name] = cmd
}

func (f *fleet) kill(name string) {
	_ = f.procs[name].Process.Kill()
	_ = f.procs[name].Wait()
}

func (f *fleet) signal(name string, s syscall.Signal) { _ = f.procs[name].Process.Signal(s) }

func (f *fleet) postControl(path string, v any) {
	data, err := json.Marshal(v)
	assert.NilError(f.t, err)
	for range 100 {
		resp, err := http.Post("http://"+f.layout.Platform+"/control/"+path, "application/json", bytes.NewReader(data))
		if err == nil {
			_ = resp.Body.Close()
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	f.t.Fatal("the platform's stand-in does not answer")
}

func (f *fleet) configure() {
	file := filepath.Join(f.dir, "change.json")
	assert.NilError(f.t, writeFile(file, firstChange(f.layout)))
	var out []byte
	var err error
	for range 100 {
		out, err = exec.Command(filepath.Join(f.dir, "boragelane"), "admin", "--host", f.layout.Settings[0].Admin, "apply", file).CombinedOutput()
		if err == nil {
			time.Sleep(4 * time.Second)
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	f.t.Fatalf("%v: %s", err, out)
}

// countRuns returns the number of runs of each key, from the logs that upstreams write before they run a job.
func (f *fleet) countRuns() map[string]int {
	runs := map[string]int{}
	for _, u := range f.layout.Upstreams {
		data, _ := os.ReadFile(f.runLogPath(u.ID))
		for _, k := range strings.Fields(string(data)) {
			runs[k]++
		}
	}
	return runs
}

// injectFaults injects one random fault after the other until the context ends, and returns what it did.
func (f *fleet) injectFaults(ctx context.Context, rng *rand.Rand) []string {
	var done []string
	wait := func(d time.Duration) {
		select {
		case <-ctx.Done():
		case <-time.After(d):
		}
	}
	for ctx.Err() == nil {
		seat := f.layout.Settings[rng.IntN(len(f.layout.Settings))].Seat
		upstream := f.layout.Upstreams[rng.IntN(len(f.layout.Upstreams))].ID
		switch n := rng.IntN(6); n {
		case 0, 1:
			done = append(done, "kill "+seat)
			f.kill(seat)
			wait(500 * time.Millisecond)
			f.start(seat)
		case 2:
			done = append(done, "pause "+seat)
			f.signal(seat, syscall.SIGSTOP)
			wait(time.Duration(1+rng.IntN(6)) * time.Second)
			f.signal(seat, syscall.SIGCONT)
		case 3:
			done = append(done, "kill "+upstream)
			f.kill(upstream)
			wait(300 * time.Millisecond)
			f.start(upstream)
		case 4:
			done = append(done, "platform down")
			f.postControl("faults", consul.Faults{Down: true})
			wait(2 * time.Second)
			f.postControl("faults", consul.Faults{})
		case 5:
			done = append(done, "platform slow, answers lost")
			f.postControl("faults", consul.Faults{Delay: 500 * time.Millisecond, LoseAnswers: true})
			wait(2 * time.Second)
			f.postControl("faults", consul.Faults{})
		}
		wait(time.Second)
	}
	return done
}

func TestNoJobRunsTwiceUnderKillsFreezesAndOutages(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	f := newFleet(t, layout.Options{
		Subnet: 130, Regions: []string{"perth", "goldfields"}, Domains: 2, Hosts: 2, Upstreams: 1,
		Slots: 4, Capacity: 200, LinkRate: 35_000_000, LinkDelay: 5 * time.Millisecond,
	})
	cfg := loadg.Config{Duration: 30 * time.Second, Callers: 200, Seed: 42}
	for _, s := range f.layout.Settings {
		cfg.Fronts = append(cfg.Fronts, s.Front)
	}
	cfg.Classes = []loadg.Class{
		{Name: "price", Service: layout.Price, Rank: "urgent", Rate: 100, Timeout: time.Second, MaxResends: 2, AnswerSize: 300},
		{Name: "orders", Service: layout.Orders, Rank: "normal", Rate: 400, Timeout: time.Second, Once: true, MaxResends: 4, AnswerSize: 100},
	}
	ctx, cancel := context.WithCancel(context.Background())
	faults := make(chan []string, 1)
	go func() { faults <- f.injectFaults(ctx, rand.New(rand.NewPCG(42, 42))) }()
	report := loadg.New(cfg, time.Now).Run(context.Background())
	cancel()
	t.Log(strings.Join(<-faults, "; "))
	var table strings.Builder
	report.Table(&table)
	t.Logf("\n%s%v", table.String(), report.Classes[1].Reasons)

	runs := f.countRuns()
	assert.Assert(t, len(report.OnceKeys) > 10_000, "%d jobs", len(report.OnceKeys))
	for _, key := range report.OnceKeys {
		assert.Assert(t, runs[key] <= 1, "%s ran %d times", key, runs[key])
	}
	for _, key := range report.NotRunKeys {
		assert.Assert(t, runs[key] == 0, "%s was refused as not run, but ran", key)
	}
	for _, key := range report.AnsweredKeys {
		assert.Assert(t, runs[key] == 1, "%s was answered, but ran %d times", key, runs[key])
	}
	for _, class := range report.Classes {
		assert.Equal(t, class.Wrong, int64(0))
		assert.Assert(t, class.Answered > class.Sent/2, "%s: %d of %d", class.Name, class.Answered, class.Sent)
	}
}
