package config

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/tailscale/hujson"
)

// reader decodes one settings file and collects its problems.
type reader struct {
	file     string
	data     []byte
	problems []string
	offsets  map[string]int // Byte offset of each setting's value.
}

// addProblem records a problem with the file name and the line of a byte offset.
func (r *reader) addProblem(offset int, text string) {
	line := 1 + bytes.Count(r.data[:min(offset, len(r.data))], []byte("\n"))
	r.problems = append(r.problems, fmt.Sprintf("%s:%d: %s", r.file, line, text))
}

// fieldsByName maps the name of each setting to a pointer to its field.
func fieldsByName(s *Settings) map[string]any {
	return map[string]any{
		"seat": &s.Seat, "domain": &s.Domain, "region": &s.Region, "front": &s.Front, "peer": &s.Peer,
		"admin": &s.Admin, "platform": &s.Platform, "seeds": &s.Seeds, "log": &s.LogLevel, "trace": &s.TraceURL, "stop": &s.StopTimeout,
	}
}

// decode decodes the file into s.
func (r *reader) decode(s *Settings) {
	root, err := hujson.Parse(r.data)
	if err != nil {
		r.addSyntaxError(err)
		return
	}
	obj, ok := root.Value.(*hujson.Object)
	if !ok {
		r.addProblem(root.StartOffset, "the settings are not an object in braces")
		return
	}
	fields := fieldsByName(s)
	for _, m := range obj.Members {
		r.decodeMember(m, fields)
	}
}

func (r *reader) addSyntaxError(err error) {
	var se *json.SyntaxError
	if errors.As(err, &se) {
		r.addProblem(int(se.Offset), err.Error())
		return
	}
	r.problems = append(r.problems, r.file+": "+err.Error())
}

// decodeMember decodes one setting into the field of its name.
func (r *reader) decodeMember(m hujson.ObjectMember, fields map[string]any) {
	lit, ok := m.Name.Value.(hujson.Literal)
	if !ok {
		return
	}
	name := lit.String()
	target, ok := fields[name]
	if !ok {
		names := make([]string, 0, len(fields))
		for k := range fields {
			names = append(names, k)
		}
		slices.Sort(names)
		r.addProblem(m.Name.StartOffset, fmt.Sprintf("there is no setting %q; allowed: %s", name, strings.Join(names, ", ")))
		return
	}
	if _, repeated := r.offsets[name]; repeated {
		r.addProblem(m.Name.StartOffset, fmt.Sprintf("%s is set twice", name))
	}
	r.offsets[name] = m.Value.StartOffset
	v := m.Value.Clone()
	v.Standardize()
	text := bytes.TrimSpace(v.Pack())
	if err := decodeValue(target, text); err != nil {
		r.addProblem(m.Value.StartOffset, fmt.Sprintf("%s: %s is not allowed; allowed: %s", name, text, expectedType(target)))
	}
}

// decodeValue decodes a JSON value; a duration is a string such as "30s".
func decodeValue(target any, text []byte) error {
	d, ok := target.(*time.Duration)
	if !ok {
		return json.Unmarshal(text, target)
	}
	var s string
	if err := json.Unmarshal(text, &s); err != nil {
		return err
	}
	v, err := time.ParseDuration(s)
	*d = v
	return err
}

// expectedType describes the values that a field accepts.
func expectedType(target any) string {
	switch target.(type) {
	case *[]string:
		return "a list of texts"
	case *time.Duration:
		return "a time in quotes such as \"30s\""
	}
	return "a text in quotes"
}
