package peer

import (
	"bufio"
	"bytes"
	"encoding/json"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func TestFramesRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := frameCodec{&Meter{}}
		want := rapid.SliceOf(rapid.MapOf(rapid.String(), rapid.String())).Draw(t, "messages")
		var buf bytes.Buffer
		for _, m := range want {
			assert.NilError(t, f.WriteObject(&buf, m))
		}
		assert.Equal(t, f.meter.Out.Load(), int64(buf.Len()))
		r := bufio.NewReader(&buf)
		for _, m := range want {
			var got map[string]string
			assert.NilError(t, f.ReadObject(r, &got))
			assert.DeepEqual(t, got, m)
		}
		assert.Assert(t, f.ReadObject(r, &json.RawMessage{}) != nil, "a read past the last frame must fail")
	})
}

func FuzzReadObject(f *testing.F) {
	f.Add([]byte("\x00\x00\x00\x02{}"))
	f.Add([]byte("\x7f\xff\xff\xff{}"))
	f.Add([]byte("\x00\x00"))
	f.Fuzz(func(_ *testing.T, data []byte) {
		var v any
		_ = frameCodec{&Meter{}}.ReadObject(bufio.NewReader(bytes.NewReader(data)), &v)
	})
}

var testNow = time.Unix(1000, 0)

func FuzzJob(f *testing.F) {
	f.Add([]byte(`{"id":"a","left":-9223372036854775808,"hop":-1}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		var w wireJob
		if json.Unmarshal(data, &w) == nil {
			_ = w.job(testNow)
		}
		var o wireOutcome
		if json.Unmarshal(data, &o) == nil {
			j := w.job(testNow)
			o.applyTo(j)
			assert.Assert(t, j.Ended())
		}
	})
}
