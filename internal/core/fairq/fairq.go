package fairq

import "slices"

// Queue orders the waiting jobs of the flows that compete in one class. It answers a flow that offers several times its share
// while slots are short: its jobs wait behind each other and not in front of the jobs of other flows.
//
// A job's start tag is the larger of the virtual time and its flow's last finish tag, less an allowance. Its finish tag adds its
// cost, divided by the flow's weight. The job with the smallest start tag is served first. A flow that was idle starts at the
// virtual time, so it accumulates no credit.
type Queue struct {
	Virtual float64          // The smallest start tag that waited when a job was served last; it doesn't decrease while jobs wait.
	Flows   map[string]*Flow // Flows that have waiting jobs, or whose last finish tag is after the virtual time.
	Length  int              // Waiting jobs of all flows.
}

// Flow holds the state of one flow.
type Flow struct {
	Weight  float64 // The flow's share of the resource in relation to the other flows'.
	Finish  float64 // Finish tag of the last job.
	Waiting []*Ticket
}

// Ticket is the place of a waiting job.
type Ticket struct {
	Start   float64
	Finish  float64
	Cost    float64 // Cost divided by the flow's weight.
	Arrived float64 // The virtual time when the job was added.
	Seq     uint64  // Orders jobs with the same start tag.
	Flow    *Flow
}

// Before reports whether a job is served before another one of the same queue.
func (t *Ticket) Before(o *Ticket) bool {
	return t.Start < o.Start || t.Start == o.Start && t.Seq < o.Seq
}

// Start returns the start tag that a job of a flow would get now.
func (q *Queue) Start(flow string, weight, cost float64) float64 {
	if f := q.Flows[flow]; f != nil {
		return f.start(q.Virtual, cost/weight)
	}
	return q.Virtual
}

// Allowance is the number of jobs of a flow that don't wait for each other's finish tags. The jobs of a flow with a small weight
// arrive at random and often in pairs; without the allowance the second one would wait for several times a job's patience. It
// doesn't depend on how long the flow was idle.
const Allowance = 4

// start returns the start tag of the flow's next job. It is never before that of the flow's last waiting job.
func (f *Flow) start(virtual, cost float64) float64 {
	start := max(virtual, f.Finish-Allowance*cost)
	if n := len(f.Waiting); n > 0 {
		start = max(start, f.Waiting[n-1].Start)
	}
	return start
}

// Add adds a waiting job. Sequence numbers must increase from job to job.
func (q *Queue) Add(flow string, weight, cost float64, seq uint64) *Ticket {
	f := q.flow(flow, weight)
	cost /= weight
	t := &Ticket{Start: f.start(q.Virtual, cost), Finish: max(q.Virtual, f.Finish) + cost, Cost: cost, Arrived: q.Virtual, Seq: seq, Flow: f}
	f.Finish = t.Finish
	f.Waiting = append(f.Waiting, t)
	q.Length++
	return t
}

// Charge accounts for a job that was served without waiting while other jobs wait.
func (q *Queue) Charge(flow string, weight, cost float64) {
	if q.Length == 0 {
		return
	}
	f := q.flow(flow, weight)
	f.Finish = max(q.Virtual, f.Finish) + cost/weight
}

// flow returns the state of a flow, creating it if necessary.
func (q *Queue) flow(name string, weight float64) *Flow {
	f := q.Flows[name]
	if f == nil {
		if q.Flows == nil {
			q.Flows = map[string]*Flow{}
		}
		f = &Flow{}
		q.Flows[name] = f
	}
	f.Weight = weight
	return f
}

// Serve removes a job that was served.
func (q *Queue) Serve(t *Ticket) {
	first := t.Start
	for _, f := range q.Flows {
		if len(f.Waiting) > 0 {
			first = min(first, f.Waiting[0].Start)
		}
	}
	q.Virtual = max(q.Virtual, first)
	t.Flow.remove(t)
	q.leave()
}

// Cancel removes a job that was not served. The later jobs of its flow move up by its cost, but not before the virtual time at
// which they arrived. It reports whether any of them may have overtaken a job of another flow.
func (q *Queue) Cancel(t *Ticket) (reordered bool) {
	f, shift, last := t.Flow, t.Cost, 0.0
	at := f.remove(t)
	if at > 0 {
		last = f.Waiting[at-1].Start
	}
	for _, later := range f.Waiting[at:] {
		before := later.Finish - later.Cost // The larger of the virtual time and the flow's finish tag when the job was added.
		base := max(later.Arrived, before-shift)
		shift = before - base
		later.Finish = base + later.Cost
		later.Start = max(last, later.Arrived, base-Allowance*later.Cost)
		last = later.Start
	}
	f.Finish -= shift
	reordered = at < len(f.Waiting) && len(f.Waiting) < q.Length-1
	q.leave()
	return reordered
}

// remove removes a waiting job and returns the index it had.
func (f *Flow) remove(t *Ticket) int {
	at := slices.Index(f.Waiting, t)
	f.Waiting = slices.Delete(f.Waiting, at, at+1)
	return at
}

// leave counts a removed job, and drops the flows that neither wait nor are ahead of the virtual time.
func (q *Queue) leave() {
	q.Length--
	if q.Length == 0 {
		q.Virtual = 0
		clear(q.Flows)
		return
	}
	for name, f := range q.Flows {
		if len(f.Waiting) == 0 && f.Finish <= q.Virtual {
			delete(q.Flows, name)
		}
	}
}

// Behind returns the number of waiting jobs of other flows that are served after a job of the given flow with the given start
// tag and sequence number.
func (q *Queue) Behind(flow string, start float64, seq uint64) int {
	n, own := 0, q.Flows[flow]
	job := &Ticket{Start: start, Seq: seq}
	for _, f := range q.Flows {
		if f == own || len(f.Waiting) == 0 {
			continue
		}
		at, _ := slices.BinarySearchFunc(f.Waiting, job, compare)
		n += len(f.Waiting) - at
	}
	return n
}

// Ahead returns the number of waiting jobs that are served before a waiting job.
func (q *Queue) Ahead(t *Ticket) int {
	n := 0
	for _, f := range q.Flows {
		at, _ := slices.BinarySearchFunc(f.Waiting, t, compare)
		n += at
	}
	return n
}

func compare(a, b *Ticket) int {
	switch {
	case a.Before(b):
		return -1
	case b.Before(a):
		return 1
	}
	return 0
}

// Waits returns the number of flows with waiting jobs.
func (q *Queue) Waits() int {
	n := 0
	for _, f := range q.Flows {
		if len(f.Waiting) > 0 {
			n++
		}
	}
	return n
}

// Weight returns the sum of the weights of the flows with waiting jobs.
func (q *Queue) Weight() float64 {
	sum := 0.0
	for _, f := range q.Flows {
		if len(f.Waiting) > 0 {
			sum += f.Weight
		}
	}
	return sum
}

// Heaviest returns the flow with the most waiting work in relation to its weight, other than the given one, or nil if none has
// more than the given amount.
func (q *Queue) Heaviest(except string, amount float64) *Flow {
	var heaviest *Flow
	for name, f := range q.Flows {
		if work := f.Finish - q.Virtual; name != except && len(f.Waiting) > 0 && work > amount {
			heaviest, amount = f, work
		}
	}
	return heaviest
}
