package dedup

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/boragelane/boragelane/internal/flow/pipe"
)

func TestTicketRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		part := rapid.StringMatching(`[a-z0-9.-]{1,30}`)
		want := Ticket{
			Seat: part.Draw(t, "seat"), Incarnation: part.Draw(t, "incarnation"), Nonce: part.Draw(t, "nonce"),
			Expiry: time.Unix(rapid.Int64Range(0, 1<<40).Draw(t, "expiry"), 0),
		}
		got, err := ParseTicket(want.String())
		assert.NilError(t, err)
		assert.Equal(t, got, want)
	})
}

func TestInvalidTicketsAreRejected(t *testing.T) {
	for _, s := range []string{"", "~~~", "a~b~c~d", "a~b~-1~d", "a~b~1", "a~b~1~d~e", strings.Repeat("a", 300)} {
		_, err := ParseTicket(s)
		assert.Assert(t, err != nil, "%q", s)
	}
}

func FuzzParseTicket(f *testing.F) {
	f.Add("a~b~1~d")
	f.Fuzz(func(t *testing.T, s string) {
		tk, err := ParseTicket(s)
		if err == nil {
			again, err := ParseTicket(tk.String())
			assert.NilError(t, err)
			assert.Equal(t, again, tk)
		}
	})
}

func TestRejectIsUnknownUntilTicketIsClaimed(t *testing.T) {
	for _, c := range []struct {
		ticket  string
		claimed bool
		want    pipe.OutcomeKind
	}{{"", false, pipe.NotRun}, {"t", false, pipe.Unknown}, {"t", true, pipe.NotRun}} {
		j := &pipe.Job{Ticket: c.ticket, Claimed: c.claimed}
		j.RefuseUnclaimed(pipe.Expired, "")
		assert.Equal(t, j.Outcome.Kind, c.want, "%+v", c)
	}
}
