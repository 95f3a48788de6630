package peer

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/boragelane/boragelane/internal/flow/pipe"
)

// Guards against an answer of another host whose status code can't be written to a caller. Hosts of an earlier release pass on whatever
// the upstream sent.
func TestAnAnswerOfAnotherHostWithAnInvalidStatusIsNoAnswer(t *testing.T) {
	for status, want := range map[int]pipe.Outcome{
		200: {Kind: pipe.Answered},
		599: {Kind: pipe.Answered},
		0:   {Kind: pipe.Unknown, Reason: pipe.AnswerMismatch, Detail: "another host sent an answer with status 0"},
		600: {Kind: pipe.Unknown, Reason: pipe.AnswerMismatch, Detail: "another host sent an answer with status 600"},
	} {
		j := &pipe.Job{ID: "a"}
		wireOutcome{ID: "a", Kind: pipe.Answered.String(), Status: status}.applyTo(j)
		checkAnswer(j)
		assert.Equal(t, j.Outcome, want)
	}
}
