package held

import (
	"sync"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

const (
	kb    = 1 << 10
	limit = 1000 * kb
)

// use takes bytes of a budget for another request.
func use(b *Budget, n int64) { b.NewAccount().Settle(n + FreeBytes) }

// Guards against an order in which what is expensive to lose is refused first.
func TestBodiesAreRefusedFirstAndAnswersToRequestsThatRunOnceLast(t *testing.T) {
	for _, c := range []struct {
		used                              int64
		crowded, body, repeatable, answer bool
	}{
		{0, false, true, true, true},
		{510 * kb, true, true, true, true},
		{640 * kb, true, false, true, true},
		{840 * kb, true, false, false, true},
		{990 * kb, true, false, false, false},
	} {
		b := NewBudget(limit)
		use(b, c.used)
		assert.Equal(t, b.Crowded(), c.crowded, "%+v", c)
		assert.Equal(t, b.NewAccount().GrowBody(20*kb+FreeBytes), c.body, "%+v", c)
		b = NewBudget(limit)
		use(b, c.used)
		assert.Equal(t, b.NewAccount().GrowAnswer(20*kb+FreeBytes, true), c.repeatable, "%+v", c)
		b = NewBudget(limit)
		use(b, c.used)
		assert.Equal(t, b.NewAccount().GrowAnswer(20*kb+FreeBytes, false), c.answer, "%+v", c)
	}
}

func TestASmallBodyAndAnswerAreAcceptedHoweverMuchIsUsed(t *testing.T) {
	b := NewBudget(limit)
	use(b, 2*limit)
	a := b.NewAccount()
	assert.Assert(t, a.GrowBody(FreeBytes) && a.GrowAnswer(FreeBytes, true))
	assert.Assert(t, !a.GrowBody(1) && !a.GrowAnswer(1, false))
	assert.Equal(t, b.Used(), int64(2*limit))
}

func TestARequestThatIsAloneMayExceedTheLimit(t *testing.T) {
	b := NewBudget(limit)
	a := b.NewAccount()
	assert.Assert(t, a.GrowBody(2*limit))
	assert.Assert(t, !b.NewAccount().GrowBody(20*kb))
	a.Settle(0)
	assert.Equal(t, b.Used(), int64(0))
}

// Guards against a losing attempt that takes bytes after its request has been answered, which nobody would return.
func TestASettledRequestTakesNothing(t *testing.T) {
	b := NewBudget(limit)
	a := b.NewAccount()
	assert.Assert(t, a.GrowAnswer(100*kb, true))
	a.Settle(50 * kb)
	assert.Assert(t, !a.GrowAnswer(1, true))
	a.ShrinkAnswer(100 * kb)
	assert.Equal(t, b.Used(), int64(50*kb-FreeBytes))
	a.Settle(0)
	assert.Equal(t, b.Used(), int64(0))
}

// Whatever requests take and return, the used bytes are the sum of what each holds beyond the free bytes, and reach the limit
// only by a request that is alone or by responses that are there already.
func TestTheUsedBytesAreTheSumOfAllRequests(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		type size struct{ body, answers int64 }
		b := NewBudget(limit)
		accounts := make([]*Account, rapid.IntRange(1, 8).Draw(t, "requests"))
		sizes := make([]size, len(accounts))
		for i := range accounts {
			accounts[i] = b.NewAccount()
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			i := rapid.IntRange(0, len(accounts)-1).Draw(t, "request")
			n := rapid.Int64Range(0, 400*kb).Draw(t, "bytes")
			a, s := accounts[i], &sizes[i]
			before := b.Used()
			switch rapid.IntRange(0, 4).Draw(t, "operation") {
			case 0:
				if a.GrowBody(n) {
					s.body += n
				}
			case 1:
				if a.GrowAnswer(n, rapid.Bool().Draw(t, "repeatable")) {
					s.answers += n
				}
			case 2:
				n = min(n, s.answers)
				a.ShrinkAnswer(n)
				s.answers -= n
			case 3, 4:
				a.Settle(0)
				accounts[i], *s = b.NewAccount(), size{}
			}
			sum := int64(0)
			for _, s := range sizes {
				sum += counted(s.body) + counted(s.answers)
			}
			if b.Used() != sum {
				t.Fatalf("%d bytes used, %d held", b.Used(), sum)
			}
			if own := counted(s.body) + counted(s.answers); sum > max(limit, before, own) {
				t.Fatalf("%d bytes used of %d", sum, limit)
			}
		}
	})
}

func TestAccountsMayBeUsedConcurrently(t *testing.T) {
	b := NewBudget(limit)
	var wg sync.WaitGroup
	for range 20 {
		wg.Go(func() {
			a := b.NewAccount()
			var attempts sync.WaitGroup
			for range 2 {
				attempts.Go(func() {
					for range 100 {
						if a.GrowAnswer(50*kb, true) {
							a.ShrinkAnswer(50 * kb)
						}
					}
				})
			}
			attempts.Wait()
			a.Settle(0)
		})
	}
	wg.Wait()
	assert.Equal(t, b.Used(), int64(0))
}
