package fairq

import (
	"fmt"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// sorted returns the waiting jobs in the order in which they are served.
func sorted(q *Queue) []*Ticket {
	var list []*Ticket
	for _, f := range q.Flows {
		list = append(list, f.Waiting...)
	}
	slices.SortFunc(list, compare)
	return list
}

// Guards against tags that contradict the order of arrival within a flow, and counts that contradict the order, after any
// sequence of arrivals, services out of order and cancellations.
func TestOrderWithinAFlowAndCountsHold(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q, seq := &Queue{}, uint64(0)
		virtual := 0.0
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			name := fmt.Sprint(rapid.IntRange(0, 4).Draw(t, "flow"))
			weight, cost := rapid.Float64Range(0.1, 10).Draw(t, "weight"), rapid.Float64Range(0.01, 5).Draw(t, "cost")
			list := sorted(q)
			switch step := rapid.IntRange(0, 5).Draw(t, "step"); {
			case step <= 2:
				seq++
				expected := q.Start(name, weight, cost)
				if got := q.Add(name, weight, cost, seq); got.Start != expected {
					t.Fatalf("start tag %v, announced %v", got.Start, expected)
				}
			case step == 3:
				q.Charge(name, weight, cost)
			case len(list) == 0:
			case step == 4:
				q.Serve(list[rapid.IntRange(0, len(list)-1).Draw(t, "served")])
			default:
				q.Cancel(list[rapid.IntRange(0, len(list)-1).Draw(t, "canceled")])
			}
			list = sorted(q)
			if len(list) != q.Length {
				t.Fatalf("%d jobs wait, counted %d", len(list), q.Length)
			}
			if len(list) > 0 && q.Virtual < virtual {
				t.Fatalf("the virtual time went back from %v to %v", virtual, q.Virtual)
			}
			virtual = q.Virtual
			checkCounts(t, q, list)
		}
	})
}

func checkCounts(t *rapid.T, q *Queue, list []*Ticket) {
	for name, f := range q.Flows {
		if !slices.IsSortedFunc(f.Waiting, compare) || !slices.IsSortedFunc(f.Waiting, func(a, b *Ticket) int { return int(a.Seq) - int(b.Seq) }) {
			t.Fatalf("flow %s is out of order", name)
		}
		for _, w := range f.Waiting {
			at, behind := slices.Index(list, w), 0
			for _, o := range list[at+1:] {
				if o.Flow != f {
					behind++
				}
			}
			if q.Ahead(w) != at || q.Behind(name, w.Start, w.Seq) != behind {
				t.Fatalf("%d jobs ahead and %d behind, counted %d and %d", at, behind, q.Ahead(w), q.Behind(name, w.Start, w.Seq))
			}
		}
		if len(f.Waiting) == 0 && (q.Length == 0 || f.Finish <= q.Virtual) {
			t.Fatalf("the idle flow %s is kept", name)
		}
	}
}

// A canceled job must leave no trace in the tags of its flow.
func TestACanceledJobGivesBackItsTags(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		with, without := &Queue{}, &Queue{}
		costs := rapid.SliceOfN(rapid.Float64Range(0.1, 3), 2, 20).Draw(t, "costs")
		canceled := rapid.IntRange(0, len(costs)-1).Draw(t, "canceled")
		with.Add("other", 1, 1, 1)
		without.Add("other", 1, 1, 1)
		var ticket *Ticket
		for i, cost := range costs {
			added := with.Add("flow", 1, cost, uint64(i+2))
			if i == canceled {
				ticket = added
			} else {
				without.Add("flow", 1, cost, uint64(i+2))
			}
		}
		with.Cancel(ticket)
		a, b := with.Flows["flow"], without.Flows["flow"]
		if d := a.Finish - b.Finish; d > 1e-9 || d < -1e-9 {
			t.Fatalf("finish tag %v instead of %v", a.Finish, b.Finish)
		}
		for i := range a.Waiting {
			if d := a.Waiting[i].Start - b.Waiting[i].Start; d > 1e-9 || d < -1e-9 {
				t.Fatalf("start tag %d is %v instead of %v", i, a.Waiting[i].Start, b.Waiting[i].Start)
			}
		}
	})
}

// Flows that always wait must get service in proportion to their weights, whatever their jobs cost and however many they send.
func TestWaitingFlowsAreServedByWeight(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q, seq := &Queue{}, uint64(0)
		weights := rapid.SliceOfN(rapid.Float64Range(0.2, 5), 2, 8).Draw(t, "weights")
		costs := rapid.SliceOfN(rapid.Float64Range(0.2, 3), len(weights), len(weights)).Draw(t, "costs")
		depths := rapid.SliceOfN(rapid.IntRange(1, 30), len(weights), len(weights)).Draw(t, "depths")
		add := func(i int) {
			seq++
			q.Add(fmt.Sprint(i), weights[i], costs[i], seq)
		}
		for i, n := range depths {
			for range n {
				add(i)
			}
		}
		served, most := make([]float64, len(weights)), 0.0
		for i := range weights {
			most = max(most, costs[i]/weights[i])
		}
		for range 500 {
			first := sorted(q)[0]
			for i := range weights {
				if q.Flows[fmt.Sprint(i)] == first.Flow {
					q.Serve(first)
					served[i] += costs[i] / weights[i]
					add(i)
					break
				}
			}
		}
		// The allowance and one job of each of two flows.
		if d := slices.Max(served) - slices.Min(served); d > (Allowance+2)*most {
			t.Fatalf("services by weight differ by %v: %v", d, served)
		}
	})
}

// A flow that was idle must not be preferred for the time that it was idle.
func TestAnIdleFlowAccumulatesNoCredit(t *testing.T) {
	q, seq := &Queue{}, uint64(0)
	add := func(name string) {
		seq++
		q.Add(name, 1, 1, seq)
	}
	for range 100 {
		add("busy")
	}
	for range 90 {
		q.Serve(sorted(q)[0])
	}
	for range 50 {
		add("idle")
	}
	idle := 0
	for range 20 {
		first := sorted(q)[0]
		if first.Flow == q.Flows["idle"] {
			idle++
		}
		q.Serve(first)
	}
	assert.Assert(t, idle <= 10+Allowance, "%d of 20 services went to the flow that was idle", idle)
}
