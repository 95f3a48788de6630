package config

import (
	"os"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
)

func TestLoadValidSettings(t *testing.T) {
	s, err := Load("testdata/good.json")
	assert.NilError(t, err)
	assert.Equal(t, s.Seat, "dar-a-1")
	assert.Equal(t, s.LogLevel, "info")
	assert.Equal(t, s.StopTimeout.String(), "45s")
	assert.DeepEqual(t, s.Seeds, []string{"127.0.0.2:7002"})
}

func TestParseReportsAllErrors(t *testing.T) {
	for _, name := range []string{"types", "values", "syntax", "list"} {
		t.Run(name, func(t *testing.T) {
			data, err := os.ReadFile("testdata/" + name + ".json")
			assert.NilError(t, err)
			_, err = Parse(name+".json", data)
			assert.Assert(t, err != nil)
			golden.Assert(t, err.Error()+"\n", name+".golden")
		})
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(`{"seat": "a"}`))
	f.Fuzz(func(_ *testing.T, data []byte) { _, _ = Parse("f", data) })
}
