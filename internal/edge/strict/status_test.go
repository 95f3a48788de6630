package strict

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestValidStatus(t *testing.T) {
	for status, want := range map[int]bool{-1: false, 0: false, 1: false, 99: false, 100: true, 101: false, 103: true, 200: true, 418: true, 599: true, 600: false, 999: false} {
		assert.Equal(t, ValidStatus(status), want, "%d", status)
	}
}
