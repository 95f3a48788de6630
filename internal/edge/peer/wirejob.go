package peer

import (
	"fmt"
	"time"

	"github.com/boragelane/boragelane/internal/edge/strict"
	"github.com/boragelane/boragelane/internal/flow/dedup"
	"github.com/boragelane/boragelane/internal/flow/pipe"
	"github.com/boragelane/boragelane/internal/flow/poison"
)

// wireJob is the encoding of a job that another host is to run.
type wireJob struct {
	ID          string            `json:"id"`
	Service     string            `json:"service"`
	Rank        string            `json:"rank"`
	Caller      string            `json:"caller,omitempty"`
	Method      string            `json:"method"`
	Path        string            `json:"path"`
	ContentType string            `json:"type,omitempty"`
	Body        []byte            `json:"body,omitempty"`
	TimeLeft    int64             `json:"left"` // Time to the deadline in microseconds.
	Ticket      string            `json:"ticket,omitempty"`
	Hop         int               `json:"hop"`
	FromRegion  string            `json:"from"`
	Trace       map[string]string `json:"trace,omitempty"`
}

func fromJob(j *pipe.Job, now time.Time) wireJob {
	return wireJob{
		ID: j.ID, Service: j.Service, Rank: j.Rank, Caller: j.Caller, Method: j.Method, Path: j.Path,
		ContentType: j.ContentType, Body: j.Body, TimeLeft: j.Deadline.Sub(now).Microseconds(), Ticket: forwardedTicket(j),
		Hop: j.Hop + 1, FromRegion: j.Plan.Self.Region, Trace: j.Trace,
	}
}

// forwardedTicket returns a job's ticket until its owner has claimed it; a claimed job is sent on without one.
func forwardedTicket(j *pipe.Job) string {
	if j.Claimed {
		return ""
	}
	return j.Ticket
}

func (w wireJob) job(now time.Time) *pipe.Job {
	return &pipe.Job{
		ID: w.ID, Service: w.Service, Rank: w.Rank, Caller: w.Caller, Method: w.Method, Path: w.Path,
		ContentType: w.ContentType, Body: w.Body, Deadline: now.Add(time.Duration(w.TimeLeft) * time.Microsecond),
		Ticket: w.Ticket, Hop: w.Hop, FromRegion: w.FromRegion, Trace: w.Trace,
	}
}

// wireOutcome is the encoding of a job's outcome and answer.
type wireOutcome struct {
	ID          string      `json:"id"`
	Kind        string      `json:"kind"`
	Reason      pipe.Reason `json:"reason,omitempty"`
	Detail      string      `json:"detail,omitempty"`
	Upstream    string      `json:"upstream,omitempty"`
	Status      int         `json:"status,omitempty"`
	ContentType string      `json:"type,omitempty"`
	Body        []byte      `json:"body,omitempty"`
}

func fromOutcome(j *pipe.Job) wireOutcome {
	return wireOutcome{
		ID: j.ID, Kind: j.Outcome.Kind.String(), Reason: j.Outcome.Reason, Detail: j.Outcome.Detail,
		Upstream: j.Upstream.ID, Status: j.Answer.Status, ContentType: j.Answer.ContentType, Body: j.Answer.Body,
	}
}

// applyTo ends a job with another host's outcome; an unreadable outcome or one of another job counts as a mismatch.
func (w wireOutcome) applyTo(j *pipe.Job) {
	kind, ok := pipe.ParseOutcomeKind(w.Kind)
	if !ok || kind == pipe.Pending || w.ID != j.ID {
		j.EndUnknown(pipe.AnswerMismatch, "another host sent an outcome that is not this job's")
		return
	}
	j.Outcome = pipe.Outcome{Kind: kind, Reason: w.Reason, Detail: w.Detail}
	j.Upstream.ID = w.Upstream
	j.Answer = pipe.Answer{Status: w.Status, ContentType: w.ContentType, Body: w.Body}
}

// checkAnswer ends a job as unknown if another host answered it with a status code that no caller can get.
func checkAnswer(j *pipe.Job) {
	if j.Outcome.Kind == pipe.Answered && !strict.ValidStatus(j.Answer.Status) {
		j.EndUnknown(pipe.AnswerMismatch, fmt.Sprintf("another host sent an answer with status %d", j.Answer.Status))
	}
}

type wireCrash struct {
	Digest   uint64 `json:"digest"`
	Upstream string `json:"up"`
	Age      int64  `json:"age"` // In microseconds.
	Spread   bool   `json:"spread,omitempty"`
}

func (w wireCrash) crash(now time.Time) poison.Crash {
	return poison.Crash{Digest: w.Digest, Upstream: w.Upstream, At: now.Add(-time.Duration(w.Age) * time.Microsecond)}
}

// wireRecord is the encoding of a dedup.Record.
type wireRecord struct {
	Ticket     string      `json:"ticket"`
	Expiry     int64       `json:"expiry"` // Unix time in seconds.
	Digest     uint64      `json:"digest"`
	AnswerKept bool        `json:"kept,omitempty"`
	End        wireOutcome `json:"end"`
}

type wireHandOver struct {
	Incarnation string       `json:"inc"`
	Until       int64        `json:"until"` // Unix time in seconds.
	Last        bool         `json:"last"`
	Records     []wireRecord `json:"records,omitempty"`
}

func fromRecord(r dedup.Record) wireRecord {
	j := pipe.Job{Outcome: r.Outcome, Answer: r.Answer}
	return wireRecord{Ticket: r.Ticket, Expiry: r.Expiry.Unix(), Digest: r.Digest, AnswerKept: r.AnswerKept, End: fromOutcome(&j)}
}

func (w wireRecord) record() dedup.Record {
	j := pipe.Job{}
	w.End.applyTo(&j)
	return dedup.Record{
		Ticket: w.Ticket, Expiry: time.Unix(w.Expiry, 0), Digest: w.Digest, AnswerKept: w.AnswerKept,
		Outcome: j.Outcome, Answer: j.Answer,
	}
}
