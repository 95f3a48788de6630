package place

import (
	"math"
	"time"
)

const (
	// paceBinWidth and paceBins are the resolution and the range of the ages for which the validity of reports is learned.
	paceBinWidth = 100 * time.Millisecond
	paceBins     = 16
	// assumedValidity is the time constant with which reports are assumed to lose validity before there are samples.
	assumedValidity = 400 * time.Millisecond
	// validityPrior is the weight of that assumption, in squared deviations from the usual pace. Ten reports of slow upstreams outweigh it.
	validityPrior = 10
	// maxValiditySamples is the weight of the samples of one age at which the older ones count half.
	maxValiditySamples = 400
	// maxPaceTime is the time of upstreams, in seconds, over which the usual pace is averaged.
	maxPaceTime = 500
	// usualPaceTime is the weight of the assumption that the usual pace is 1, in seconds of an upstream.
	usualPaceTime = 5
	// maxPaceGap is the longest time for which one report counts in the usual pace.
	maxPaceGap = time.Second
	// forgetPaceTime is the time constant with which an upstream that sends no report is assumed to work as fast as the most. Without it, one
	// that gets no job would count as slower than those that report, and would stay without jobs.
	forgetPaceTime = 2 * time.Second
)

// paceModel learns how long the reports of a service's upstreams are valid. It answers upstreams whose speed changes many times a second:
// the time for which they keep their speed is a property of the deployment.
type paceModel struct {
	weighted, seconds float64 // Sum of the paces times the time since the upstream's last report, and of these times.
	bins              [paceBins]regression
	gain              regression // How much longer jobs take by the deviations that were expected at their start.
	ratio             float64    // Average ratio of actual to expected work, less 1.
	usual, slope      float64    // The usual pace and the slope of gain, as of the last record.
}

// regression holds the sums from which the slope of y over x is estimated.
type regression struct{ xy, xx float64 }

// add adds a sample and halves the weight of the older ones from time to time.
func (r *regression) add(x, y float64) {
	r.xy += x * y
	r.xx += x * x
	if r.xx > maxValiditySamples {
		r.xy, r.xx = r.xy/2, r.xx/2
	}
}

// slope returns the estimate, from 0 to 1, with the given one before there are samples.
func (r *regression) slope(assumed float64) float64 {
	return min(1, max(0, (r.xy+validityPrior*assumed)/(r.xx+validityPrior)))
}

// recordJob records the ratio of a job's actual to its expected work and the deviation of the pace that was expected at its start.
func (m *paceModel) recordJob(ratio, deviation float64) {
	y := min(maxGainRatio, ratio) - 1
	m.gain.add(deviation, y-m.ratio)
	m.slope = m.gain.slope(1)
	m.ratio += gainRatioWeight * (y - m.ratio)
}

const (
	// maxGainRatio bounds the ratio of one job, so that the long tail counts little.
	maxGainRatio = 4
	// gainRatioWeight is the weight of the newest job in the average ratio.
	gainRatioWeight = 0.02
)

// newPaceModel returns a model without samples, by which the usual pace is 1 and all reports are true.
func newPaceModel() *paceModel { return &paceModel{usual: 1, slope: 1} }

// validity returns how much of a report's deviation from the usual pace is expected to remain at an age, from 0 to 1.
func (m *paceModel) validity(age time.Duration) float64 {
	bin := int(max(0, age) / paceBinWidth)
	if bin >= paceBins {
		return 0
	}
	return m.bins[bin].slope(assumedValidities[bin])
}

// assumedValidities holds the validity at the middle of each bin before there are samples.
var assumedValidities = func() (out [paceBins]float64) {
	for bin := range out {
		out[bin] = math.Exp(-(float64(bin) + 0.5) * float64(paceBinWidth) / float64(assumedValidity))
	}
	return out
}()

// recordPair records that an upstream that reported one pace reported another at a later time.
func (m *paceModel) recordPair(before, after float64, age time.Duration) {
	bin := int(max(0, age) / paceBinWidth)
	if bin >= paceBins {
		return
	}
	usual := m.usual
	m.bins[bin].add(before-usual, after-usual)
}

// recordTime records that an upstream reported a pace some time after its previous report. The weight is that time, since slow upstreams
// get fewer jobs and report less often.
func (m *paceModel) recordTime(pace float64, since time.Duration) {
	seconds := min(maxPaceGap, since).Seconds()
	m.weighted += pace * seconds
	m.seconds += seconds
	m.usual = (m.weighted + usualPaceTime) / (m.seconds + usualPaceTime)
	if m.seconds > maxPaceTime {
		m.weighted, m.seconds = m.weighted/2, m.seconds/2
	}
}

const (
	// reusesPerSlot is the number of jobs, as a share of the upstream's slots, after which a report that was better than usual counts no more.
	// It is well below 1, so that the upstream has slots left when its next report comes.
	reusesPerSlot = 0.5
	// minReuses is the same number for an upstream with few slots.
	minReuses = 2
)

// paceReport is a pace with the time at which an upstream reported it.
type paceReport struct {
	pace float64
	at   time.Time
}

// paceState is what is known of one upstream's pace.
type paceState struct {
	last      paceReport // The newest report; its pace is 0 if the upstream reports none.
	reference paceReport // An earlier report, with which later ones are compared.
	granted   int        // Jobs started since the newest report.
	ratios    recentRatios
	residual  float64 // Average ratio of actual to expected work after division by the pace.
	errPace   float64 // Average error of predictions by the pace, as a logarithm.
	errFlat   float64 // The same of predictions by the learned slowdown.
}

// newPaceState returns the state of an upstream that has reported nothing.
func newPaceState() paceState {
	return paceState{residual: 1, errPace: assumedPaceError, errFlat: assumedPaceError}
}

const (
	// assumedPaceError is the error of predictions before there are samples, as a logarithm.
	assumedPaceError = 0.3
	// maxPaceError bounds the error of one prediction, so that a job of the long tail counts little.
	maxPaceError = 1.0
	// distrustRatio is the ratio of the errors above which an upstream's reports are ignored.
	distrustRatio = 1.25
)

// trusted reports whether the upstream reports its pace and its own responses don't contradict the reports.
func (p *paceState) trusted() bool {
	return p.last.pace > 0 && p.errPace <= distrustRatio*p.errFlat
}

// record adds a report. It ignores those that are older than the last one, since hosts pass them on with different delays.
func (p *paceState) record(m *paceModel, pace float64, at time.Time) {
	pace = min(maxSlowdown, max(minSlowdown, pace))
	if p.last.pace > 0 {
		if !at.After(p.last.at) {
			return
		}
		m.recordTime(pace, at.Sub(p.last.at))
		m.recordPair(p.reference.pace, pace, at.Sub(p.reference.at))
	}
	p.last, p.granted = paceReport{pace, at}, 0
	if at.Sub(p.reference.at) >= paceBins*paceBinWidth {
		p.reference = p.last
	}
}

// deviation returns what is expected to remain of the last report's deviation from the usual pace. A burst must not go to the one upstream
// that just reported well: a report that is better than usual loses weight with each job started since, as it says little about several jobs
// at a time.
func (p *paceState) deviation(now time.Time, m *paceModel, slots int) float64 {
	validity, deviation := m.validity(now.Sub(p.last.at)), p.last.pace-m.usual
	if deviation < 0 {
		validity *= max(0, 1-float64(p.granted)/max(minReuses, reusesPerSlot*float64(slots)))
	}
	return validity * deviation
}

// forecast returns the expected pace of a job that starts now.
func (p *paceState) forecast(now time.Time, m *paceModel, slots int) float64 {
	silent := 1.0
	if d := now.Sub(p.last.at) - paceBins*paceBinWidth; d > 0 {
		silent = math.Exp(-d.Seconds() / forgetPaceTime.Seconds())
	}
	return max(minSlowdown, 1+silent*(m.usual-1)+m.slope*p.deviation(now, m, slots))
}

// paceSpan is the pace of an upstream when a job started and when it ended. The job's time may follow either, or both.
type paceSpan struct{ from, to float64 }

// best returns the pace of the span by which a ratio of actual to expected work is nearest to the given one.
func (p paceSpan) best(ratio, expected float64) float64 {
	out, least := 1.0, math.Inf(1)
	for _, pace := range []float64{p.from, (p.from + p.to) / 2, p.to} {
		if d := logError(ratio, pace*expected); d < least {
			out, least = pace, d
		}
	}
	return out
}

// most returns the longer pace of the span.
func (p paceSpan) most() float64 { return max(p.from, p.to) }

// logError returns the bounded absolute logarithm of a ratio.
func logError(a, b float64) float64 {
	return min(maxPaceError, math.Abs(math.Log(max(a, minSlowdown/maxSlowdown)/b)))
}

// usual returns the pace by which a job's time is divided to train the work estimate: that which explains the time best, or the mean if
// the expected work is unknown.
func (p paceSpan) usual(took, expected time.Duration) float64 {
	if expected <= 0 {
		return (p.from + p.to) / 2
	}
	return p.best(float64(took)/float64(expected), 1)
}
