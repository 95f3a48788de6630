package dialer

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/boragelane/boragelane/internal/core/held"
	"github.com/boragelane/boragelane/internal/flow/pipe"
)

// sendHeld sends a job whose account belongs to a budget of 1 MB, of which others use a part.
func sendHeld(t *testing.T, used int64, once bool, body string) (pipe.Reply, *held.Budget, *held.Account) {
	b := held.NewBudget(1 << 20)
	b.NewAccount().Settle(used + held.FreeBytes)
	u := startUpstream(t, func(int, *http.Request) string { return okResponse("6", body) + okResponse("7", body) })
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	account := b.NewAccount()
	job := &pipe.Job{
		ID: "7", Method: http.MethodGet, Host: "h.example", Path: "/", Deadline: time.Now().Add(5 * time.Second),
		Header: http.Header{"X-Id": {"7"}}, Held: account, Once: once,
	}
	return New(testNames, time.Now).Send(ctx, time.Now(), job, u), b, account
}

// Guards against a response that takes memory that the host doesn't have, or that is lost though only a repeatable one must be.
func TestAResponseWithoutMemoryFails(t *testing.T) {
	body := strings.Repeat("x", 100<<10)
	for name, c := range map[string]struct {
		used int64
		once bool
		body string
		ok   bool
	}{
		"room":                      {100 << 10, false, body, true},
		"no room for a repeatable":  {900 << 10, false, body, false},
		"room for one that is sole": {900 << 10, true, body, true},
		"no room at all":            {1000 << 10, true, body, false},
		"small":                     {1 << 20, false, "small", true},
	} {
		t.Run(name, func(t *testing.T) {
			r, b, account := sendHeld(t, c.used, c.once, c.body)
			assert.Equal(t, r.Complete, c.ok, "%v", r.Err)
			assert.Equal(t, r.NoMemory, !c.ok)
			if c.ok {
				assert.Equal(t, string(r.Answer.Body), c.body)
				assert.Equal(t, b.Used(), c.used+max(0, int64(cap(r.Answer.Body))-held.FreeBytes)) // Until the caller has it.
			} else {
				assert.Equal(t, b.Used(), c.used)
			}
			account.Settle(0)
			assert.Equal(t, b.Used(), c.used)
		})
	}
}

// Guards against a buffer that never grows, that grows far beyond what has arrived of an untrusted length, or that is copied
// though its length is known.
func TestABodysBufferFollowsItsLength(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		declared := rapid.Int64Range(-1, maxResponseBody).Draw(t, "declared")
		size, steps := int64(0), 0
		for size <= declared || declared < 0 && size <= maxResponseBody {
			grow := nextGrowth(size, declared)
			if grow <= 0 {
				t.Fatalf("a buffer of %d bytes doesn't grow", size)
			}
			if next := size + grow; next > max(trustedLength+1, 2*size+1, bodyChunk) {
				t.Fatalf("%d bytes for %d that have arrived", next, size)
			}
			if size += grow; size > maxResponseBody+1 {
				t.Fatalf("a buffer of %d bytes for a body of at most %d", size, maxResponseBody)
			}
			steps++
		}
		if declared >= 0 && declared <= trustedLength && steps != 1 {
			t.Fatalf("%d steps to %d bytes", steps, declared)
		}
	})
}
