package policy

import (
	"crypto/sha256"
	"encoding/hex"
)

const (
	// maxKeyBytes is the length of the longest key.
	maxKeyBytes = 256
	// firstVisible and lastVisible bound the visible ASCII characters, of which keys consist.
	firstVisible, lastVisible = '!', '~'
)

// ValidKey reports whether a key is well-formed: 1 to 256 visible ASCII characters without a comma. A comma separates
// values that were joined in one header field.
func ValidKey(key string) bool {
	if key == "" || len(key) > maxKeyBytes {
		return false
	}
	for i := range len(key) {
		if c := key[i]; c < firstVisible || c > lastVisible || c == ',' {
			return false
		}
	}
	return true
}

// KeyDigest returns the digest that stands for a key in Policy.Keys.
func KeyDigest(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// WorkspaceOf returns the workspace that a key belongs to, and whether there is one. It allocates nothing that grows with
// the number of keys.
func (p *Policy) WorkspaceOf(key string) (Workspace, bool) {
	sum := sha256.Sum256([]byte(key))
	var digest [2 * sha256.Size]byte
	hex.Encode(digest[:], sum[:])
	w, ok := p.Workspaces[p.Keys[string(digest[:])]]
	return w, ok
}

// IntersectHomes returns the regions that two lists of homes both allow, and whether there is one. An empty list allows all
// regions, also as a result.
func IntersectHomes(a, b []string) ([]string, bool) {
	switch {
	case len(a) == 0:
		return b, true
	case len(b) == 0:
		return a, true
	}
	var both []string
	for _, region := range a {
		for _, other := range b {
			if region == other {
				both = append(both, region)
				break
			}
		}
	}
	return both, len(both) > 0
}
