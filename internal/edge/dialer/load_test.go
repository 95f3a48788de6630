package dialer

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/boragelane/boragelane/internal/core/roster"
	"github.com/boragelane/boragelane/internal/flow/pipe"
)

// Guards against dropping the report of an upstream that sends a fourth figure, and against a pace that is not a positive number.
func TestParseLoad(t *testing.T) {
	for text, want := range map[string]*pipe.LoadReport{
		"1,2,3":        {Running: 1, Waiting: 2, Slots: 3},
		"1, 2, 3, 250": {Running: 1, Waiting: 2, Slots: 3, Pace: 2.5},
		"0,0,6,100":    {Slots: 6, Pace: 1},
		"0,0,6,87.5":   {Slots: 6, Pace: 0.875},
		"":             nil,
		"1,2":          nil,
		"1,2,3,":       nil,
		"1,2,3,0":      nil,
		"1,2,3,-100":   nil,
		"1,2,3,NaN":    nil,
		"1,2,3,Inf":    nil,
		"1,2,3,1e9":    nil,
		"1,2,3,100,5":  nil,
		"1.5,2,3,100":  nil,
		"-1,2,3":       nil,
	} {
		assert.DeepEqual(t, parseLoad(text), want)
	}
}

// Guards against malformed reports that nobody notices, against taking a missing header for a malformed one, and against copying a
// long header into the log.
func TestMalformedLoadHeadersAreReported(t *testing.T) {
	for header, want := range map[string]string{
		"":                     "",
		"X-Load: 1,2,3,90\r\n": "",
		"X-Load: 1,x\r\n":      "1,x",
		"X-Load: " + strings.Repeat("9", 300) + "\r\n": strings.Repeat("9", maxLoggedLoad),
	} {
		u := startUpstream(t, func(int, *http.Request) string {
			return strings.Replace(okResponse("7", "whole"), "X-Sig", header+"X-Sig", 1)
		})
		s, got := New(testNames, time.Now), ""
		s.OnBadLoad = func(from *roster.Upstream, value string) {
			assert.Equal(t, from.ID, u.ID)
			got = value
		}
		r := send(s, u, "7")
		assert.Assert(t, r.Complete)
		assert.Equal(t, got, want)
	}
}

// Guards against panics and against reports that placement can't compute with.
func FuzzParseLoad(f *testing.F) {
	for _, seed := range []string{"1,2,3", "1,2,3,250", "0,0,6,0x1p-1074", "1,2,3,1e-320", ",,,", "1,2,3,NaN", "٣,1,2"} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, text string) {
		r := parseLoad(text)
		if r == nil {
			return
		}
		if r.Running < 0 || r.Waiting < 0 || r.Slots < 0 || !(r.Pace >= 0 && r.Pace <= maxPaceFigure/usualPace) {
			t.Fatalf("%q: %+v", text, r)
		}
		if four := strings.Count(text, ",") == 3; four != (r.Pace > 0) {
			t.Fatalf("%q: pace %v", text, r.Pace)
		}
	})
}
